package io.egretlock.core.placement

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/**
 * What is expected of a job if it were queued now.
 *
 * @property workMillis expected work of the whole job, in milliseconds on an agent of slowness 1.
 * @property waitMillis expected wait of its last task.
 * @property tailMillis run time that its tasks seldom exceed.
 * @property remainingMillis time left until the job's deadline.
 * @property ratePerMilli work that the queue drains, in milliseconds per millisecond.
 */
data class Forecast(
    val workMillis: Double,
    val waitMillis: Double,
    val tailMillis: Double,
    val remainingMillis: Long,
    val ratePerMilli: Double,
)

/** Decides whether a job that could run is queued now. */
interface AdmissionControl {
    /** Takes note of the time that the whole backlog needs to drain. */
    fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    )

    /** Refusal of a job; null if it is admitted. */
    fun refusal(
        forecast: Forecast,
        nowMillis: Long,
    ): Verdict.NotRun?
}

/** Admits every job: the baseline for [DeadlineAdmission]. */
class OpenAdmission : AdmissionControl {
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
 * Refuses a job that is not expected to finish before its deadline. While a standing queue shows lasting overload, it
 * also refuses jobs that would wait longer than [SHORT_WAIT_MILLIS] or their own run time: a longer queue would then
 * delay every answer and complete no more of them.
 */
class DeadlineAdmission : AdmissionControl {
    private val standingQueue = StandingQueue()
    private val retrySchedule = RetrySchedule()

    override fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    ) = standingQueue.observe(backlogMillis, nowMillis)

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
        val beforeDeadline = forecast.remainingMillis * USABLE_SHARE - forecast.tailMillis
        if (!standingQueue.isStanding) return beforeDeadline.coerceAtLeast(0.0)
        return beforeDeadline.coerceIn(0.0, maxOf(SHORT_WAIT_MILLIS, forecast.tailMillis / 2))
    }

    private companion object {
        const val USABLE_SHARE = 0.9
        const val SHORT_WAIT_MILLIS = 500.0
    }
}
