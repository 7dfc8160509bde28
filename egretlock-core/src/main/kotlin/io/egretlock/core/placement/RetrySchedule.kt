package io.egretlock.core.placement

/**
 * Spreads the retries of refused jobs over time. Each refused job reserves capacity after the jobs refused before it,
 * so that the work of retried jobs stays within [RETRY_SHARE] of the drain rate.
 */
internal class RetrySchedule {
    private var reservedUntilMillis = Double.NEGATIVE_INFINITY

    /**
     * Returns the delay before a retry of the refused job, in milliseconds. [excessMillis] is the excess of its
     * expected wait over the longest allowed one.
     */
    fun retryAfterMillis(
        forecast: Forecast,
        excessMillis: Double,
        nowMillis: Long,
    ): Long {
        val earliestMillis = nowMillis + excessMillis + SHORTEST_RETRY_MILLIS
        val retryAtMillis = maxOf(earliestMillis, reservedUntilMillis)
        val reservedMillis = forecast.workMillis / (forecast.ratePerMilli * RETRY_SHARE)
        reservedUntilMillis = minOf(retryAtMillis + reservedMillis, nowMillis.toDouble() + LONGEST_RETRY_MILLIS)
        return (retryAtMillis - nowMillis).toLong().coerceAtMost(LONGEST_RETRY_MILLIS)
    }

    private companion object {
        const val RETRY_SHARE = 0.1
        const val SHORTEST_RETRY_MILLIS = 100.0
        const val LONGEST_RETRY_MILLIS = 600_000L
    }
}
