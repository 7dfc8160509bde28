package io.egretlock.protocol

import java.util.concurrent.atomic.AtomicLong

/**
 * How long the other end of a [Link] has been silent: not heard here, or without word that it hears this end.
 *
 * Such word comes with heartbeats, so that a connection in order shows up to two intervals without any: a heartbeat of
 * this end can arrive just after one of the other end has left.
 */
internal class LinkSilence(
    private val timing: LinkTiming,
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private val heardAtNanos = AtomicLong(nowNanos())
    private val confirmedAtNanos = AtomicLong(nowNanos())
    private val confirmed = AtomicLong()

    /** Takes note of a frame of the other end. */
    fun heard() = heardAtNanos.set(nowNanos())

    /** The other end has heard this end's heartbeat number [sequence]. */
    fun confirmed(sequence: Long) {
        if (sequence > confirmed.getAndSet(sequence)) confirmedAtNanos.set(nowNanos())
    }

    /** Whether the connection is to be given up. */
    val isOver: Boolean
        get() = millis() > timing.silenceMillis

    /** Whether half of the time has passed after which it is given up. */
    val isDoubtful: Boolean
        get() {
            val half = timing.silenceMillis / 2
            return millisSince(heardAtNanos) > half || millisSince(confirmedAtNanos) > half + timing.heartbeatMillis
        }

    /** Time, in milliseconds, since the other end was last heard or last confirmed, whichever is longer ago. */
    fun millis(): Long = maxOf(millisSince(heardAtNanos), millisSince(confirmedAtNanos))

    private fun millisSince(instant: AtomicLong): Long = (nowNanos() - instant.get()) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
