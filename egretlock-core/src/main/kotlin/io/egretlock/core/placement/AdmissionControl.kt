package io.egretlock.core.placement

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/**
 * Expected work and wait of a job that would be queued now.
 *
 * @property workMillis expected work of the whole job, in milliseconds on an agent of slowness 1.
 * @property waitMillis expected wait of its last task, in milliseconds.
 * @property tailMillis run time that at most about one in a hundred of its tasks exceeds, in milliseconds.
 * @property remainingMillis time left until the job's deadline, in milliseconds.
 * @property ratePerMilli drain rate of the queue, in milliseconds of work per millisecond.
 */
data class Forecast(
    val workMillis: Double,
    val waitMillis: Double,
    val tailMillis: Double,
    val remainingMillis: Long,
    val ratePerMilli: Double,
)

/** Decides whether a job that could run is admitted to the queue. */
interface AdmissionControl {
    /** Records the time that the whole backlog needs to drain, in milliseconds. */
    fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    )

    /** Returns the refusal of a job; null if it is admitted. */
    fun refusal(
        forecast: Forecast,
        nowMillis: Long,
    ): Verdict.NotRun?
}

/** Admits every job; the baseline with which [DeadlineAdmission] is compared. */
class AdmitAll : AdmissionControl {
    override fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    ) = Unit

    override fun refusal(
        forecast: Forecast,
        nowMillis: Long,
    ): Verdict.NotRun? = null
}

/**
 * Refuses a job that is not expected to finish before its deadline. During lasting overload, it also refuses a job that
 * would wait longer than both [SHORT_WAIT_MILLIS] and half of its [Forecast.tailMillis], because a longer queue would
 * delay every answer without completing more jobs.
 */
class DeadlineAdmission : AdmissionControl {
    private val overloadDetector = OverloadDetector()
    private val retrySchedule = RetrySchedule()

    override fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    ) = overloadDetector.observe(backlogMillis, nowMillis)

    override fun refusal(
        forecast: Forecast,
        nowMillis: Long,
    ): Verdict.NotRun? {
        val longestWait = longestWaitMillis(forecast)
        if (forecast.waitMillis <= longestWait) return null
        val excessMillis = forecast.waitMillis - longestWait
        val retryAfter = retrySchedule.retryAfterMillis(forecast, excessMillis, nowMillis)
        return Verdict.NotRun(
            Reason.OVERLOADED,
            "The job would wait ${forecast.waitMillis.toLong()} ms of its ${forecast.remainingMillis} ms.",
            retryAfter,
        )
    }

    private fun longestWaitMillis(forecast: Forecast): Double {
        val beforeDeadline = forecast.remainingMillis * USABLE_DEADLINE_SHARE - forecast.tailMillis
        if (!overloadDetector.isOverloaded) return beforeDeadline.coerceAtLeast(0.0)
        return beforeDeadline.coerceIn(0.0, maxOf(SHORT_WAIT_MILLIS, forecast.tailMillis / 2))
    }

    private companion object {
        const val USABLE_DEADLINE_SHARE = 0.9
        const val SHORT_WAIT_MILLIS = 500.0
    }
}
