package io.egretlock.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Tells requests that wait for it that the heir has all claims. */
internal class HandoverSignal {
    private val complete = CompletableDeferred<Unit>()

    @Volatile
    private var isUnderWay = false

    /** A handover begins; requests wait from now on. */
    fun begin() {
        isUnderWay = true
    }

    /** The heir has the claims, or will not get them. */
    fun end() {
        complete.complete(Unit)
    }

    /** Waits until a handover that is under way has ended. */
    suspend fun await() {
        if (isUnderWay) withTimeoutOrNull(LONGEST_WAIT_MILLIS) { complete.await() }
    }

    private companion object {
        const val LONGEST_WAIT_MILLIS = 5_000L
    }
}
