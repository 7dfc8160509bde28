package io.egretlock.core.placement

/**
 * Spreads the return of refused jobs over time. Each refused job books a share of the capacity after those refused
 * before it, so that returning jobs never exceed [RETURN_SHARE] of what the queue drains.
 */
internal class RetrySchedule {
    private var bookedUntilMillis = Double.NEGATIVE_INFINITY

    /** Time after which the refused job should come back; [excessMillis] is by how much its wait is too long now. */
    fun retryAfterMillis(
        forecast: Forecast,
        excessMillis: Double,
        nowMillis: Long,
    ): Long {
        val earliest = nowMillis + excessMillis + SHORTEST_RETRY_MILLIS
        val returnAt = maxOf(earliest, bookedUntilMillis)
        val bookedMillis = forecast.workMillis / (forecast.ratePerMilli * RETURN_SHARE)
        bookedUntilMillis = minOf(returnAt + bookedMillis, nowMillis.toDouble() + LONGEST_RETRY_MILLIS)
        return (returnAt - nowMillis).toLong().coerceAtMost(LONGEST_RETRY_MILLIS)
    }

    private companion object {
        const val RETURN_SHARE = 0.1
        const val SHORTEST_RETRY_MILLIS = 100.0
        const val LONGEST_RETRY_MILLIS = 600_000L
    }
}
