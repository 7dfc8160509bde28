package io.egretlock.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Tells requests that wait for it that an offer of the claims to an heir has ended. Safe for concurrent use. */
internal class HandoverSignal {
    @Volatile
    private var underWay: CompletableDeferred<Unit>? = null

    /** An offer begins; requests wait from now on. */
    fun begin() {
        underWay = CompletableDeferred()
    }

    /** The heir has the claims, or refused them, or will not answer. */
    fun end() {
        val ended = underWay
        underWay = null
        ended?.complete(Unit)
    }

    /** Waits until an offer that is under way has ended; false if none is, or if it takes too long. */
    suspend fun await(): Boolean {
        val present = underWay ?: return false
        return withTimeoutOrNull(LONGEST_WAIT_MILLIS) { present.await() } != null
    }

    private companion object {
        const val LONGEST_WAIT_MILLIS = 5_000L
    }
}
