package io.egretlock.core.retry

import kotlin.random.Random

/**
 * Exponential backoff with jitter: the longest delay doubles with each failure up to a limit, and each delay is random
 * between half of it and all of it, so that callers that failed together do not retry together.
 *
 * @property firstMillis longest delay after the first failure, in milliseconds.
 * @property maxMillis longest delay after any failure, in milliseconds.
 */
data class Backoff(
    val firstMillis: Long,
    val maxMillis: Long,
) {
    init {
        require(firstMillis in 1..maxMillis) { "The first delay must be between 1 ms and the largest delay." }
    }

    /** Returns the delay before the next attempt after [failures] consecutive failures, in milliseconds. */
    fun delayMillis(
        failures: Int,
        random: Random,
    ): Long {
        val doublings = (failures - 1).coerceIn(0, MAX_DOUBLINGS)
        val longest = (firstMillis shl doublings).coerceIn(1, maxMillis)
        return longest / 2 + random.nextLong(longest - longest / 2 + 1)
    }

    private companion object {
        const val MAX_DOUBLINGS = 30
    }
}
