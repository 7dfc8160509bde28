package io.egretlock.core.placement

/** Measures how long tasks that may start have been waiting since the last start of any task. */
internal class StallClock {
    private var sinceMillis: Long? = null

    /** Records whether tasks that may start are waiting now. */
    fun observe(
        isWaiting: Boolean,
        nowMillis: Long,
    ) {
        sinceMillis = if (isWaiting) sinceMillis ?: nowMillis else null
    }

    /** Restarts the measurement, because a task has started. */
    fun reset() {
        sinceMillis = null
    }

    /**
     * Returns the time since the first observation of waiting tasks after the last start, in milliseconds; 0 if none
     * wait.
     */
    fun stalledMillis(nowMillis: Long): Long = sinceMillis?.let { nowMillis - it } ?: 0
}
