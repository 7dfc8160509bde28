package io.egretlock.core.retry

import kotlin.random.Random

/**
 * Exponential backoff with jitter: delays double up to a limit, and each is drawn from the upper half of its range, so
 * that many callers that failed together do not try again together.
 *
 * @property firstMillis longest delay after the first failure, in milliseconds.
 * @property largestMillis longest delay after any failure, in milliseconds.
 */
data class Backoff(
    val firstMillis: Long,
    val largestMillis: Long,
) {
    init {
        require(firstMillis in 1..largestMillis) { "The first delay must be from 1 ms to the largest." }
    }

    /** Delay before the next attempt after [failures] failures in a row, in milliseconds. */
    fun delayMillis(
        failures: Int,
        random: Random,
    ): Long {
        val doublings = (failures - 1).coerceIn(0, MOST_DOUBLINGS)
        val longest = (firstMillis shl doublings).coerceIn(1, largestMillis)
        return longest / 2 + random.nextLong(longest - longest / 2 + 1)
    }

    private companion object {
        const val MOST_DOUBLINGS = 30
    }
}
