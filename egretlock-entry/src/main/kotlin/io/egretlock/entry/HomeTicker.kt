package io.egretlock.entry

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Sends ticks to a [HomeTask]: at short intervals while it has live jobs, whose deadlines and credit requests depend on
 * ticks, and at long intervals while it has none, so that an idle entry seldom wakes up.
 */
internal class HomeTicker(
    private val send: (HomeInput) -> Unit,
) {
    private val wakes = Channel<Unit>(Channel.CONFLATED)

    @Volatile
    private var isIdle = false

    /** Updates the number of live jobs; the first live job ends a long interval. */
    fun observe(liveJobs: Int) {
        val wasIdle = isIdle
        isIdle = liveJobs == 0
        if (wasIdle && !isIdle) wakes.trySend(Unit)
    }

    /** Sends ticks until cancelled. At least one follows the end of the last job, to withdraw its credit requests. */
    suspend fun run() {
        var wasIdle = false
        while (true) {
            val idle = isIdle
            if (idle && wasIdle) withTimeoutOrNull(IDLE_INTERVAL_MILLIS) { wakes.receive() }
            wasIdle = idle
            delay(BUSY_INTERVAL_MILLIS)
            send(HomeInput.Tick)
        }
    }

    private companion object {
        const val BUSY_INTERVAL_MILLIS = 20L
        const val IDLE_INTERVAL_MILLIS = 250L
    }
}
