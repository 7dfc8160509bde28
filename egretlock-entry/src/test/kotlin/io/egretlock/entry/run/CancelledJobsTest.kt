package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CancelledJobsTest {
    private val cancelled = CancelledJobs()

    @Test
    fun `a cancelled job is known for a while`() {
        cancelled.add(JobId("a"), 0)
        val jobs = listOf(JobId("a"), JobId("b"))
        assertEquals(listOf(JobId("a")), cancelled.among(jobs, CancelledJobs.KEPT_MILLIS - 1))
        assertEquals(emptyList<JobId>(), cancelled.among(jobs, CancelledJobs.KEPT_MILLIS))
    }

    @Test
    fun `a flood of cancels keeps the latest ones`() {
        repeat(CancelledJobs.MAX_JOBS + 1) { cancelled.add(JobId("$it"), 0) }
        assertEquals(listOf(JobId("1")), cancelled.among(listOf(JobId("0"), JobId("1")), 0))
    }
}
