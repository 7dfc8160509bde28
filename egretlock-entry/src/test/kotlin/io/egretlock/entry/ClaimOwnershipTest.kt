package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.RunningJob
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ClaimOwnershipTest {
    private val self = member("self")
    private val leaver = member("leaver")
    private val job = JobId("job-1")
    private val ownership = ClaimOwnership(self)

    @Test
    fun `given no handover, when asked for a job's holder, then this entry may claim it`() {
        assertNull(ownership.holderOf(job))
    }

    @Test
    fun `given a running job of a leaver, when asked for its holder, then it is the leaver until the job ended`() {
        ownership.inherit(listOf(RunningJob(job, leaver)))
        assertEquals(leaver, ownership.holderOf(job))
        ownership.removeEnded(listOf(job))
        assertNull(ownership.holderOf(job))
    }

    @Test
    fun `given an heir, when another is named, then the first one stays`() {
        ownership.handOver(leaver)
        ownership.handOver(member("third"))
        assertEquals(leaver, ownership.holderOf(job))
    }

    @Test
    fun `given own and inherited running jobs, when handed over, then each has its holder`() {
        ownership.inherit(listOf(RunningJob(job, leaver)))
        assertEquals(
            listOf(RunningJob(JobId("own"), self), RunningJob(job, leaver)),
            ownership.runningJobs(listOf(JobId("own"))),
        )
    }

    @Test
    fun `given a refused part, when it is repeated after this entry claims again, then it is refused again`() {
        ownership.handOver(leaver)
        assertFalse(ownership.accept(lastPart(request = 1)))
        ownership.resumeClaiming()
        assertFalse(ownership.accept(lastPart(request = 1)))
        assertTrue(ownership.accept(lastPart(request = 2)))
    }

    @Test
    fun `given a last part that was accepted, when it is repeated while this entry leaves, then it is not refused`() {
        assertTrue(ownership.accept(lastPart(request = 1)))
        ownership.handOver(member("heir"))
        assertTrue(ownership.accept(lastPart(request = 2)))
        assertEquals(setOf(self.entry, leaver.entry), ownership.owners)
    }

    @Test
    fun `given a part for an earlier process at this address, when it arrives, then it is refused`() {
        assertFalse(ownership.accept(lastPart(request = 1, heir = ProcessId("self", 0))))
        assertEquals(setOf(self.entry), ownership.owners)
    }

    private fun lastPart(
        request: Long,
        heir: ProcessId = self.entry,
    ) = ClaimHandover(request, leaver.entry, heir, setOf(leaver.entry), emptyList(), emptyList())

    private fun member(name: String) = EntryMember(ProcessId(name, 1), NodeAddress("127.0.0.1", 7000))
}
