package io.egretlock.core.placement

/**
 * Measures how fast the queue drains, as a factor on the nominal rate of the known agents. Only windows with a backlog
 * throughout are measured, because otherwise the rate is that of the arrivals. Windows without any backlog move the
 * factor back towards 1; otherwise, a factor so low that admission refuses all jobs would never be measured again.
 */
internal class DrainRate {
    private var windowStartMillis = Long.MIN_VALUE
    private var finishedMillis = 0.0
    private var hadBacklogThroughout = false
    private var hadNoBacklog = false

    /** Measured rate divided by the nominal one. */
    var factor = 1.0
        private set

    /** Records that a task of [workMillis] of work has finished. */
    fun recordFinished(workMillis: Double) {
        finishedMillis += workMillis
    }

    /**
     * Records whether there is a backlog, and ends the window if it is over. [nominalRate] is in milliseconds of work
     * per millisecond.
     */
    fun observe(
        nowMillis: Long,
        hasBacklog: Boolean,
        nominalRate: Double,
    ) {
        if (hasBacklog) hadNoBacklog = false else hadBacklogThroughout = false
        if (windowStartMillis != Long.MIN_VALUE && nowMillis - windowStartMillis < WINDOW_MILLIS) return
        when {
            hadBacklogThroughout && nominalRate > 0 -> learn(nowMillis - windowStartMillis, nominalRate)
            hadNoBacklog -> approach(1.0)
        }
        windowStartMillis = nowMillis
        finishedMillis = 0.0
        hadBacklogThroughout = hasBacklog
        hadNoBacklog = !hasBacklog
    }

    private fun learn(
        elapsedMillis: Long,
        nominalRate: Double,
    ) {
        approach(finishedMillis / elapsedMillis / nominalRate)
    }

    private fun approach(target: Double) {
        factor = (factor + FACTOR_WEIGHT * (target - factor)).coerceIn(SMALLEST_FACTOR, LARGEST_FACTOR)
    }

    private companion object {
        const val WINDOW_MILLIS = 500L
        const val FACTOR_WEIGHT = 0.3
        const val SMALLEST_FACTOR = 0.05
        const val LARGEST_FACTOR = 20.0
    }
}
