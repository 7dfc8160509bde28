package io.egretlock.core.placement

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class DeadlineAdmissionTest {
    private val admission = DeadlineAdmission()

    @Test
    fun `given a wait within the deadline, when a job is submitted, then it is admitted`() =
        assertNull(admission.refusal(forecast(waitMillis = 800.0), 0))

    @Test
    fun `given a wait past the deadline, when a job is submitted, then the refusal has a retry time`() {
        val expected = Verdict.NotRun(Reason.OVERLOADED, "The job would wait 1000 ms of its 1000 ms.", 300)
        assertEquals(expected, admission.refusal(forecast(waitMillis = 1_000.0), 0))
    }

    @Test
    fun `given several refusals, when retry times are set, then they are spread by the work of each job`() {
        val retries = List(3) { admission.refusal(forecast(waitMillis = 1_000.0), 0)?.retryAfterMillis }
        assertEquals(listOf(300L, 1_300L, 2_300L), retries)
    }

    @Test
    fun `given lasting overload, when a wait is long but in time, then jobs are refused until the queue clears`() {
        admission.observe(450.0, 0)
        admission.observe(450.0, 1_000)
        assertNotNull(admission.refusal(forecast(waitMillis = 600.0), 1_000))
        admission.observe(50.0, 2_000)
        assertNull(admission.refusal(forecast(waitMillis = 600.0), 2_000))
    }

    private fun forecast(waitMillis: Double) =
        Forecast(
            workMillis = 1_000.0,
            waitMillis = waitMillis,
            tailMillis = 100.0,
            remainingMillis = 1_000,
            ratePerMilli = 10.0,
        )
}
