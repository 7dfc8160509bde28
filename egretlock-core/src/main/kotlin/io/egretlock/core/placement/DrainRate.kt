package io.egretlock.core.placement

/**
 * Learns how fast the queue drains, as a factor on the nominal rate of the known agents. Only windows that have a
 * backlog throughout count, because otherwise the rate is that of the arrivals.
 */
internal class DrainRate {
    private var windowStartMillis = Long.MIN_VALUE
    private var finishedMillis = 0.0
    private var hadBacklogThroughout = false

    /** Measured rate relative to the nominal one. */
    var factor = 1.0
        private set

    /** Counts a finished task of [workMillis]. */
    fun finished(workMillis: Double) {
        finishedMillis += workMillis
    }

    /** Closes the window if it is over. [nominalRate] is in milliseconds of work per millisecond. */
    fun observe(
        nowMillis: Long,
        hasBacklog: Boolean,
        nominalRate: Double,
    ) {
        if (!hasBacklog) hadBacklogThroughout = false
        if (windowStartMillis != Long.MIN_VALUE && nowMillis - windowStartMillis < WINDOW_MILLIS) return
        if (hadBacklogThroughout && nominalRate > 0) learn(nowMillis - windowStartMillis, nominalRate)
        windowStartMillis = nowMillis
        finishedMillis = 0.0
        hadBacklogThroughout = hasBacklog
    }

    private fun learn(
        elapsedMillis: Long,
        nominalRate: Double,
    ) {
        val measured = finishedMillis / elapsedMillis / nominalRate
        factor = (factor + FACTOR_WEIGHT * (measured - factor)).coerceIn(SMALLEST_FACTOR, LARGEST_FACTOR)
    }

    private companion object {
        const val WINDOW_MILLIS = 500L
        const val FACTOR_WEIGHT = 0.3
        const val SMALLEST_FACTOR = 0.05
        const val LARGEST_FACTOR = 20.0
    }
}
