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

class ClaimCustodyTest {
    private val self = member("self")
    private val leaver = member("leaver")
    private val job = JobId("job-1")
    private val custody = ClaimCustody(self)

    @Test
    fun `given no handover, when asked for a job's holder, then this entry may claim it`() {
        assertNull(custody.holderOf(job))
    }

    @Test
    fun `given a running job of a leaver, when asked for its holder, then it is the leaver until the job ended`() {
        custody.inherit(listOf(RunningJob(job, leaver)))
        assertEquals(leaver, custody.holderOf(job))
        custody.ended(listOf(job))
        assertNull(custody.holderOf(job))
    }

    @Test
    fun `given an heir, when another is named, then the first one stays`() {
        custody.handOver(leaver)
        custody.handOver(member("third"))
        assertEquals(leaver, custody.holderOf(job))
    }

    @Test
    fun `given own and inherited running jobs, when handed on, then each has its holder`() {
        custody.inherit(listOf(RunningJob(job, leaver)))
        assertEquals(
            listOf(RunningJob(JobId("own"), self), RunningJob(job, leaver)),
            custody.runningJobs(listOf(JobId("own"))),
        )
    }

    @Test
    fun `given a refused part, when it is repeated after this entry claims again, then it is refused again`() {
        custody.handOver(leaver)
        assertFalse(custody.accepts(lastPart(request = 1)))
        custody.takeBack()
        assertFalse(custody.accepts(lastPart(request = 1)))
        assertTrue(custody.accepts(lastPart(request = 2)))
    }

    @Test
    fun `given a last part that was taken, when it is repeated while this entry leaves, then it is not refused`() {
        assertTrue(custody.accepts(lastPart(request = 1)))
        custody.handOver(member("heir"))
        assertTrue(custody.accepts(lastPart(request = 2)))
        assertEquals(setOf(self.entry, leaver.entry), custody.owners)
    }

    @Test
    fun `given a part for an earlier process at this address, when it arrives, then it is not taken`() {
        assertFalse(custody.accepts(lastPart(request = 1, heir = ProcessId("self", 0))))
        assertEquals(setOf(self.entry), custody.owners)
    }

    private fun lastPart(
        request: Long,
        heir: ProcessId = self.entry,
    ) = ClaimHandover(request, leaver.entry, heir, setOf(leaver.entry), emptyList(), emptyList())

    private fun member(name: String) = EntryMember(ProcessId(name, 1), NodeAddress("127.0.0.1", 7000))
}
