package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class JoinedJobsTest {
    private val joined = JoinedJobs()
    private val job = JobId("a")
    private val one = ProcessId("one", 1)
    private val two = ProcessId("two", 1)

    @Test
    fun `a job is wanted as long as an entry that joined it has not left`() {
        joined.addJoiner(job, one)
        joined.addJoiner(job, two)
        joined.removeJoiner(job, one)
        assertTrue(joined.hasJoiners(job))
        joined.removeJoiner(job, two)
        assertFalse(joined.hasJoiners(job))
    }

    @Test
    fun `entries out of reach no longer wait`() {
        joined.addJoiner(job, one)
        joined.addJoiner(JobId("b"), two)
        assertEquals(listOf(job), joined.retainJoiners(setOf(two)))
        assertEquals(setOf(two), joined.removeJoiners(JobId("b")))
    }
}
