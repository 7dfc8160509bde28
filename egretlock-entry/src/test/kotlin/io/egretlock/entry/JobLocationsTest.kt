package io.egretlock.entry

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.JobHome
import io.egretlock.core.roster.NodeAddress
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobLocationsTest {
    @Test
    fun `given another home, when located, then the request goes there`() {
        val member = EntryMember(ProcessId("entry-2", 1), NodeAddress("127.0.0.1", 7000))
        assertEquals(JobLocation.Remote(member), JobLocations.of(JobHome.Remote(member), nowMillis = 0))
    }

    @Test
    fun `given a lost home, when located, then an unknown job may have run and the detail has the wait`() {
        val detail = "Entry 'entry-2@1', the home of the job, is gone. Jobs created in 700 ms have another home."
        assertEquals(
            JobLocation.LocalIfKnown(Verdict.MayHaveRun(Reason.HOME_LOST, detail)),
            JobLocations.of(JobHome.Lost(ProcessId("entry-2", 1), retryAtMillis = 1_700), nowMillis = 1_000),
        )
    }

    @Test
    fun `given an unconfirmed home, when located, then an unknown job may have run`() {
        val detail = "The entry cannot confirm now that it is the only home of the job."
        assertEquals(
            JobLocation.LocalIfKnown(Verdict.MayHaveRun(Reason.NO_AUTHORITY, detail)),
            JobLocations.of(JobHome.LocalUnconfirmed, nowMillis = 0),
        )
    }

    @Test
    fun `given a job created in the future, when located, then the verdict leaves open that the job runs later`() {
        val detail = "The job's creation time is ahead of this entry's clock; the same request can run later."
        assertEquals(
            JobLocation.Refused(Verdict.MayHaveRun(Reason.CREATION_TIME, detail)),
            JobLocations.of(JobHome.TooNew, nowMillis = 0),
        )
    }
}
