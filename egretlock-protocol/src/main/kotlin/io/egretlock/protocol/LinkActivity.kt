package io.egretlock.protocol

/**
 * Tracks whether a [Link] is busy: either end has work on it whose loss has to be noticed quickly.
 *
 * Each end reports its own state in its heartbeats. An end stays busy for [LINGER_MILLIS] after the last mark, so that
 * short pieces of work do not switch the heartbeats back and forth, and so that the other end has time to report that
 * it is busy too.
 */
internal class LinkActivity(
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private var markedAtNanos: Long? = null
    private var isPeerBusy = false

    /** Whether this end was marked busy within the last [LINGER_MILLIS]. */
    val isOwnBusy: Boolean
        get() = markedAtNanos?.let { nowNanos() - it < LINGER_MILLIS * NANOS_PER_MILLI } ?: false

    /** Whether either end is busy. */
    val isBusy: Boolean
        get() = isPeerBusy || isOwnBusy

    /** Marks this end busy; returns whether the link was idle. */
    fun mark(): Boolean {
        val wasIdle = !isBusy
        markedAtNanos = nowNanos()
        return wasIdle
    }

    /** Records the state that the peer reported; returns whether that makes an idle link busy. */
    fun recordPeer(isBusy: Boolean): Boolean {
        val wasIdle = !this.isBusy
        isPeerBusy = isBusy
        return wasIdle && isBusy
    }

    companion object {
        /** Longer than an order takes to arrive and the first heartbeat of a busy peer to return. */
        const val LINGER_MILLIS = 1_000L
        private const val NANOS_PER_MILLI = 1_000_000L
    }
}
