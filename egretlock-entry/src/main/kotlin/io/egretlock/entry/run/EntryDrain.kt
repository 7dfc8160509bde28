package io.egretlock.entry.run

/**
 * Decides how long an entry that was asked to stop accepts requests, and when its process can exit.
 *
 * The load balancer checks readiness once a second and sends new connections until two checks have failed. Open
 * connections stay in use. Requests are therefore accepted for [ACCEPTING_MILLIS] after the drain has started.
 */
internal class EntryDrain(
    private val nowMillis: () -> Long,
) {
    private var drainStartedAt: Long? = null
    private var graceMillis = 0L
    private var lastRequestAt = 0L

    /** Whether the entry was asked to stop. */
    val isDraining: Boolean
        get() = drainStartedAt != null

    /** Starts the drain; the platform kills the process after [graceMillis]. */
    fun begin(graceMillis: Long) {
        this.graceMillis = graceMillis
        drainStartedAt = nowMillis()
    }

    /** Records the arrival of a request and returns whether it is accepted. */
    fun tryAcceptRequest(): Boolean {
        lastRequestAt = nowMillis()
        val startedAt = drainStartedAt ?: return true
        return nowMillis() - startedAt < ACCEPTING_MILLIS
    }

    /** Limits a caller's patience, which is null if the caller set no limit, to the time left for answers. */
    fun limitPatience(patienceMillis: Long?): Long? {
        val startedAt = drainStartedAt ?: return patienceMillis
        val left = startedAt + graceMillis - ANSWER_MARGIN_MILLIS - nowMillis()
        return minOf(patienceMillis ?: left, left)
    }

    /** Whether the process can exit while [unansweredJobs] jobs remain. */
    fun canExit(unansweredJobs: Int): Boolean {
        val startedAt = drainStartedAt ?: return false
        val now = nowMillis()
        val isIdle = unansweredJobs == 0 && now - lastRequestAt >= IDLE_MILLIS
        return (now - startedAt >= BALANCER_NOTICE_MILLIS && isIdle) ||
            now - startedAt >= graceMillis - EXIT_MARGIN_MILLIS
    }

    private companion object {
        /** Time after the start of the drain during which requests are still accepted. */
        const val ACCEPTING_MILLIS = 3_000L

        /** Time after which the load balancer has noticed the drain: two checks a second apart, and a margin. */
        const val BALANCER_NOTICE_MILLIS = 2_500L

        /** Time without a request after which no further requests are expected. */
        const val IDLE_MILLIS = 500L

        /** Time before the platform kills the process at which the remaining jobs are given up. */
        const val ANSWER_MARGIN_MILLIS = 400L

        /** Time before the platform kills the process at which it exits, whether or not jobs remain. */
        const val EXIT_MARGIN_MILLIS = 200L
    }
}
