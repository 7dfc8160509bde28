package io.egretlock.entry.run

/**
 * When an entry that was asked to stop takes requests, and when it may end.
 *
 * The balancer sends new connections until it has missed two of its questions, which it asks once a second, and open
 * connections stay in use; so requests are taken as ever for [TAKING_MILLIS].
 */
internal class EntryDrain(
    private val nowMillis: () -> Long,
) {
    private var beganAt: Long? = null
    private var graceMillis = 0L
    private var lastRequestAt = 0L

    /** Whether the entry was asked to stop. */
    val isDraining: Boolean
        get() = beganAt != null

    /** The entry is asked to stop; the platform ends it by force after [graceMillis]. */
    fun begin(graceMillis: Long) {
        this.graceMillis = graceMillis
        beganAt = nowMillis()
    }

    /** Whether a request that comes now is taken. */
    fun takesRequests(): Boolean {
        lastRequestAt = nowMillis()
        val began = beganAt ?: return true
        return nowMillis() - began < TAKING_MILLIS
    }

    /** Shortens a caller's patience to the time that is left. */
    fun bounded(patienceMillis: Long?): Long? {
        val began = beganAt ?: return patienceMillis
        val left = began + graceMillis - MARGIN_MILLIS - nowMillis()
        return minOf(patienceMillis ?: left, left)
    }

    /** Whether the process may end while [held] jobs are not answered. */
    fun mayEnd(held: Int): Boolean {
        val began = beganAt ?: return false
        val now = nowMillis()
        val isQuiet = held == 0 && now - lastRequestAt >= QUIET_MILLIS
        return (now - began >= NOTICED_MILLIS && isQuiet) || now - began >= graceMillis - END_MARGIN_MILLIS
    }

    private companion object {
        const val TAKING_MILLIS = 3_000L

        /** Time in which the balancer notices: two questions a second apart and a little more. */
        const val NOTICED_MILLIS = 2_500L

        /** Time without a request after which no more are expected. */
        const val QUIET_MILLIS = 500L

        /** Time before the end by force at which the last jobs are given up. */
        const val MARGIN_MILLIS = 400L

        /** Time before the end by force at which the process ends. */
        const val END_MARGIN_MILLIS = 200L
    }
}
