package io.egretlock.core.run

/**
 * Forecast for a job that arrives.
 *
 * @property waitMillis expected time until the work ahead of the job is done.
 * @property slackMillis time that the job can wait and still meet its latency objective; negative if it can't meet it.
 */
data class WaitForecast(
    val waitMillis: Double,
    val slackMillis: Double,
)

/** Policy that decides on arrival whether a job is accepted into the queue. */
interface WaitAdmission {
    /** Whether a job with [forecast] is accepted. */
    fun accepts(forecast: WaitForecast): Boolean
}

/** Accepts every job. The baseline for [SlackAdmission]. */
class AdmitWithoutWaitLimit : WaitAdmission {
    override fun accepts(forecast: WaitForecast): Boolean = true
}

/**
 * Rejects a job on arrival if the work ahead of it takes longer than the job can wait.
 *
 * During a load peak above the capacity, a job that waits and is then rejected wastes its caller's time.
 */
class SlackAdmission : WaitAdmission {
    override fun accepts(forecast: WaitForecast): Boolean =
        forecast.waitMillis <= maxOf(forecast.slackMillis * USABLE_SLACK_SHARE, FORECAST_ERROR_MILLIS)

    private companion object {
        /** Share of the slack that the expected wait may use; the forecast is rough. */
        const val USABLE_SLACK_SHARE = 1.0

        /** Wait that is always accepted, since it is within the error of a forecast. */
        const val FORECAST_ERROR_MILLIS = 20.0
    }
}
