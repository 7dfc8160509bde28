package io.egretlock.core.run

/**
 * What awaits a job that arrives.
 *
 * @property waitMillis expected time until the work that goes before it has drained.
 * @property slackMillis time that it can wait and still meet its latency objective; negative if it can't.
 */
data class WaitForecast(
    val waitMillis: Double,
    val slackMillis: Double,
)

/** Decides on arrival whether a job is taken into the queue. */
interface WaitAdmission {
    /** Whether a job with [forecast] is accepted. */
    fun accepts(forecast: WaitForecast): Boolean
}

/** Accepts every job: the baseline for [SlackAdmission]. */
class OpenWaitAdmission : WaitAdmission {
    override fun accepts(forecast: WaitForecast): Boolean = true
}

/**
 * Rejects a job at once when the work ahead of it takes longer than it can wait.
 *
 * Answers a crest above the room: a job that waits and is then rejected has cost its caller time for nothing.
 */
class SlackAdmission : WaitAdmission {
    override fun accepts(forecast: WaitForecast): Boolean =
        forecast.waitMillis <= maxOf(forecast.slackMillis * USABLE_SLACK, SHORTEST_WAIT_MILLIS)

    private companion object {
        /** Part of the slack that may be planned with; the forecast is rough. */
        const val USABLE_SLACK = 1.0

        /** Waits that are within the error of a forecast. */
        const val SHORTEST_WAIT_MILLIS = 20.0
    }
}
