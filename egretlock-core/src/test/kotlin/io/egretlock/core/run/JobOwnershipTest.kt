package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JobOwnershipTest {
    private val timing = OwnershipTiming()
    private val self = ProcessId("entry-b", 1)
    private val other = ProcessId("entry-c", 1)
    private val third = ProcessId("entry-d", 1)
    private val ownership = JobOwnership(self, timing)
    private val job = JobId("a")

    /** Makes [others] reachable, and lets the time of doubt pass. */
    private fun connect(vararg others: ProcessId): Long {
        ownership.updateReachable(setOf(self, *others), 0)
        return OwnershipTiming.DOUBT_MILLIS
    }

    private fun announce(
        nowMillis: Long,
        runs: JobRuns = JobRuns.ACTIVE,
    ): OwnedJobs? = ownership.nextAnnouncement({ runs }, nowMillis)

    private fun confirm(
        announcement: OwnedJobs?,
        nowMillis: Long,
        from: ProcessId = other,
        kept: List<JobId> = emptyList(),
    ) = ownership.onConfirmed(from, checkNotNull(announcement).round, kept, nowMillis)

    private fun onAnnounced(
        nowMillis: Long,
        runs: JobRuns,
        from: ProcessId = other,
        running: Set<JobId> = emptySet(),
        round: Long = 1,
    ) = checkNotNull(ownership.onAnnounced(from, OwnedJobs(round, listOf(job), running), { runs }, nowMillis))

    @Test
    fun `without other entries, jobs are placed and their runs go on without confirmation`() {
        ownership.open(job, 0)
        assertTrue(ownership.mayPlace(job, 10_000))
        assertNull(ownership.confirmWithinMillis(job, 0))
        assertFalse(ownership.mustStop(job, 10_000))
    }

    @Test
    fun `a young job is placed without confirmation and announced in time`() {
        val start = connect(other)
        announce(start)
        ownership.open(job, start)
        assertTrue(ownership.mayPlace(job, start))
        assertEquals(timing.confirmedFromMillis, ownership.confirmWithinMillis(job, start))
        assertNull(announce(start + timing.announcedFromMillis - 1))
        assertEquals(listOf(job), announce(start + timing.announcedFromMillis + OwnershipTiming.CHECK_MILLIS)?.jobs)
    }

    @Test
    fun `the runs of an older job go on only if all reachable entries have confirmed it`() {
        val start = connect(other, third)
        ownership.open(job, start)
        val announcement = announce(start + timing.announcedFromMillis)
        confirm(announcement, start + timing.announcedFromMillis)
        val limit = start + timing.confirmedFromMillis
        assertFalse(ownership.mustStop(job, limit - 1))
        assertTrue(ownership.mustStop(job, limit))
        assertFalse(ownership.mayPlace(job, limit))
        confirm(announcement, limit, from = third)
        assertFalse(ownership.mustStop(job, limit))
        assertTrue(ownership.mayPlace(job, limit))
        assertNull(ownership.confirmWithinMillis(job, limit))
    }

    @Test
    fun `an announcement without all answers is repeated, also in another way`() {
        val start = connect(other)
        ownership.open(job, start)
        val sentAt = start + timing.announcedFromMillis
        announce(sentAt)
        assertFalse(ownership.isSilent(other, sentAt))
        assertNull(announce(sentAt + OwnershipTiming.RETRY_MILLIS - 1))
        val retriedAt = sentAt + OwnershipTiming.RETRY_MILLIS + OwnershipTiming.CHECK_MILLIS
        assertTrue(ownership.isSilent(other, retriedAt))
        confirm(announce(retriedAt), retriedAt)
        assertFalse(ownership.isSilent(other, retriedAt))
        assertNull(announce(retriedAt + OwnershipTiming.RETRY_MILLIS + OwnershipTiming.CHECK_MILLIS))
    }

    /** Guards against a job that its entry goes on with after a standstill while another entry has got it. */
    @Test
    fun `after a standstill all jobs need new confirmations before they are placed`() {
        val start = connect(other)
        ownership.open(job, start)
        confirm(announce(start + timing.announcedFromMillis), start + timing.announcedFromMillis)
        val wokenAt = start + 4_000
        ownership.onStandstill(wokenAt)
        ownership.open(JobId("young"), wokenAt)
        assertFalse(ownership.mayPlace(job, wokenAt))
        assertFalse(ownership.mayPlace(JobId("young"), wokenAt))
        val announcement = announce(wokenAt)
        assertEquals(listOf(job, JobId("young")), announcement?.jobs)
        assertEquals(listOf(job), confirm(announcement, wokenAt, kept = listOf(job)))
        assertEquals(other, ownership.ownerOf(job, wokenAt))
        assertFalse(ownership.mayPlace(JobId("young"), wokenAt + OwnershipTiming.SETTLE_MILLIS - 1))
        assertTrue(ownership.mayPlace(JobId("young"), wokenAt + OwnershipTiming.SETTLE_MILLIS))
    }

    /** Guards against an entry that others had lost for a moment and that has not noticed it. */
    @Test
    fun `once an agent has connected again, the other entries have to confirm young jobs too`() {
        val start = connect(other)
        ownership.open(job, start)
        ownership.onReconnection(start)
        assertFalse(ownership.mayPlace(job, start))
        confirm(announce(start), start)
        assertTrue(ownership.mayPlace(job, start))
    }

    /** Guards against an entry that starts, or was cut off, and doesn't know which jobs others own. */
    @Test
    fun `while an entry has just become reachable, it has to confirm young jobs too`() {
        ownership.updateReachable(setOf(other), 100)
        announce(100)
        ownership.open(job, 100)
        assertFalse(ownership.mayPlace(job, 100))
        confirm(announce(100), 101)
        assertTrue(ownership.mayPlace(job, 101))
        val later = 100 + OwnershipTiming.DOUBT_MILLIS
        ownership.open(JobId("b"), later)
        assertTrue(ownership.mayPlace(JobId("b"), later))
    }

    @Test
    fun `runs go on for a while when an entry becomes reachable that has not confirmed them yet`() {
        val start = connect(other)
        ownership.open(job, start)
        confirm(announce(start + timing.announcedFromMillis), start + timing.announcedFromMillis)
        val gainedAt = start + 5_000
        ownership.updateReachable(setOf(other, third), gainedAt)
        assertFalse(ownership.mustStop(job, gainedAt + OwnershipTiming.CONFIRMATION_MILLIS - 1))
        assertTrue(ownership.mustStop(job, gainedAt + OwnershipTiming.CONFIRMATION_MILLIS))
    }

    @Test
    fun `an entry that is lost before it has confirmed an older job blocks it until its runs are over`() {
        val start = connect(other)
        ownership.open(job, start)
        val lostAt = start + timing.confirmedFromMillis
        ownership.updateReachable(emptySet(), lostAt)
        assertFalse(ownership.mayPlace(job, lostAt + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS - 1))
        assertTrue(ownership.mayPlace(job, lostAt + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS))
    }

    @Test
    fun `an entry that is lost while a job is young does not block it`() {
        val start = connect(other)
        ownership.open(job, start)
        ownership.updateReachable(emptySet(), start + 1)
        assertTrue(ownership.mayPlace(job, start + timing.confirmedFromMillis))
        assertNull(ownership.confirmWithinMillis(job, start + 2))
    }

    @Test
    fun `a new process of an entry is another entry`() {
        val start = connect(other)
        ownership.open(job, start)
        confirm(announce(start + timing.announcedFromMillis), start + timing.announcedFromMillis)
        val restarted = ProcessId(other.name, 2)
        ownership.updateReachable(setOf(other, restarted), start + 1_000)
        assertEquals(setOf(restarted), ownership.reachableEntries)
        assertFalse(ownership.mayPlace(job, start + 1_000))
    }

    @Test
    fun `nothing is placed while runs of an unknown entry may be stopping at the first agent`() {
        ownership.onFirstAgent(100)
        ownership.open(job, 100)
        assertFalse(ownership.mayPlace(job, 100 + OwnershipTiming.SETTLE_MILLIS - 1))
        assertTrue(ownership.mayPlace(job, 100 + OwnershipTiming.SETTLE_MILLIS))
    }

    /** Guards against a second home that starts a job of a first home that works on. */
    @Test
    fun `the owner of a job is known until it no longer announces the job or its runs are over`() {
        val now = connect(other)
        onAnnounced(now, JobRuns.NONE)
        assertEquals(other, ownership.ownerOf(job, now + 60_000))
        ownership.updateReachable(emptySet(), now)
        val endedAt = now + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS
        assertEquals(other, ownership.ownerOf(job, endedAt - 1))
        assertNull(ownership.ownerOf(job, endedAt))
        onAnnounced(now, JobRuns.NONE)
        ownership.onAnnounced(other, OwnedJobs(2, emptyList()), { JobRuns.NONE }, now)
        assertNull(ownership.ownerOf(job, now))
    }

    @Test
    fun `an announcement that was overtaken by a later one is not answered`() {
        val now = connect(other)
        onAnnounced(now, JobRuns.NONE, round = 7)
        assertNull(ownership.onAnnounced(other, OwnedJobs(6, emptyList()), { JobRuns.NONE }, now))
        assertEquals(other, ownership.ownerOf(job, now))
    }

    @Test
    fun `of two entries with one job the one with active runs keeps it`() {
        val now = connect(other)
        ownership.open(job, now)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.ACTIVE).kept)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.LOST).kept)
        val yielding = onAnnounced(now, JobRuns.LOST, running = setOf(job))
        assertEquals(listOf(job), yielding.yielded)
        assertFalse(yielding.isComplete)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.NONE, running = setOf(job)).yielded)
    }

    @Test
    fun `of two entries with one job and no or two runs the first in the order of names keeps it`() {
        val now = connect(other)
        val earlier = ProcessId("entry-a", 1)
        ownership.open(job, now)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.NONE).kept)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.ACTIVE, running = setOf(job)).kept)
        assertEquals(listOf(job), onAnnounced(now, JobRuns.NONE, from = earlier).yielded)
        val yielding = onAnnounced(now, JobRuns.ACTIVE, from = earlier, running = setOf(job))
        assertEquals(listOf(job), yielding.yielded)
        assertFalse(yielding.isComplete)
    }

    @Test
    fun `a job that ends is no longer announced`() {
        val start = connect(other)
        ownership.open(job, start)
        assertNotNull(announce(start + timing.announcedFromMillis))
        ownership.close(job)
        assertEquals(emptyList<JobId>(), announce(start + timing.announcedFromMillis)?.jobs)
    }

    /** Guards against callers that wait at another entry for a job that its owner gave up before it announced it. */
    @Test
    fun `a job that was kept from another entry is announced as over, even if it was never announced`() {
        val now = connect(other)
        announce(now)
        ownership.open(job, now)
        onAnnounced(now, JobRuns.ACTIVE)
        ownership.close(job)
        assertEquals(emptyList<JobId>(), announce(now)?.jobs)
    }
}
