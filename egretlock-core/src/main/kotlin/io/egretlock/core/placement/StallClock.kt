package io.egretlock.core.placement

/** Measures for how long tasks that may start have waited without any start. */
internal class StallClock {
    private var sinceMillis: Long? = null

    /** Takes note of whether tasks that may start wait now. */
    fun observe(
        isWaiting: Boolean,
        nowMillis: Long,
    ) {
        sinceMillis = if (isWaiting) sinceMillis ?: nowMillis else null
    }

    /** A task started. */
    fun started() {
        sinceMillis = null
    }

    /** Time since the first observation without a start, in milliseconds; 0 if nothing waits. */
    fun stalledMillis(nowMillis: Long): Long = sinceMillis?.let { nowMillis - it } ?: 0
}
