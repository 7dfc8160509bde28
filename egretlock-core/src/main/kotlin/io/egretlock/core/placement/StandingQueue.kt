package io.egretlock.core.placement

/** Tells lasting overload from a burst: the backlog has not been short at any time for [INTERVAL_MILLIS]. */
internal class StandingQueue {
    private var longSinceMillis: Long? = null

    /** Whether the overload lasts. */
    var isStanding = false
        private set

    /** Takes note of the time that the whole backlog needs to drain. */
    fun observe(
        backlogMillis: Double,
        nowMillis: Long,
    ) {
        val limit = if (isStanding) CLEARED_MILLIS else LONG_MILLIS
        if (backlogMillis < limit) {
            longSinceMillis = null
            isStanding = false
            return
        }
        val since = longSinceMillis ?: nowMillis.also { longSinceMillis = it }
        if (nowMillis - since >= INTERVAL_MILLIS) isStanding = true
    }

    private companion object {
        const val LONG_MILLIS = 400.0
        const val CLEARED_MILLIS = 100.0
        const val INTERVAL_MILLIS = 1_000L
    }
}
