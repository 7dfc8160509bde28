package io.egretlock.core.placement

/** Distinguishes lasting overload from a burst: the backlog has stayed long for [INTERVAL_MILLIS]. */
internal class OverloadDetector {
    private var longSinceMillis: Long? = null

    /** Whether there is lasting overload, which ends when the backlog falls below [CLEARED_BACKLOG_MILLIS]. */
    var isOverloaded = false
        private set

    /** Records the time that the whole backlog needs to drain, in milliseconds. */
    fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    ) {
        val limit = if (isOverloaded) CLEARED_BACKLOG_MILLIS else LONG_BACKLOG_MILLIS
        if (backlogMillis < limit) {
            longSinceMillis = null
            isOverloaded = false
            return
        }
        val since = longSinceMillis ?: nowMillis.also { longSinceMillis = it }
        if (nowMillis - since >= INTERVAL_MILLIS) isOverloaded = true
    }

    private companion object {
        const val LONG_BACKLOG_MILLIS = 400.0
        const val CLEARED_BACKLOG_MILLIS = 100.0
        const val INTERVAL_MILLIS = 1_000L
    }
}
