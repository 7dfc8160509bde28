package io.egretlock.entry

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.withTimeoutOrNull

/** Lets requests wait for the end of an ongoing offer of all claims to an heir. Safe for concurrent use. */
internal class HandoverSignal {
    @Volatile
    private var ongoingOffer: CompletableDeferred<Unit>? = null

    /** Begins an offer; calls of [await] suspend from now on. */
    fun begin() {
        ongoingOffer = CompletableDeferred()
    }

    /** Ends the offer: the heir has accepted the claims, refused them or not answered. */
    fun end() {
        val ended = ongoingOffer
        ongoingOffer = null
        ended?.complete(Unit)
    }

    /** Waits for the end of the ongoing offer; false if there is none, or if it takes too long. */
    suspend fun await(): Boolean {
        val offer = ongoingOffer ?: return false
        return withTimeoutOrNull(MAX_WAIT_MILLIS) { offer.await() } != null
    }

    private companion object {
        const val MAX_WAIT_MILLIS = 5_000L
    }
}
