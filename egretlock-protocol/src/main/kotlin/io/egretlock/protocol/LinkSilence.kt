package io.egretlock.protocol

import java.util.concurrent.atomic.AtomicLong

/**
 * Measures how long the peer of a [Link] has been silent: has sent no frame, or has not confirmed a further heartbeat.
 *
 * The peer's heartbeats carry the confirmations. On a healthy connection up to two intervals can pass without one: a
 * heartbeat can reach the peer just after the peer has sent its own.
 */
internal class LinkSilence(
    private val timing: LinkTiming,
    private val activity: LinkActivity,
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private val lastFrameAtNanos = AtomicLong(nowNanos())
    private val confirmedAtNanos = AtomicLong(nowNanos())
    private val confirmedSequence = AtomicLong()

    /** Records that a frame has arrived from the peer. */
    fun recordFrame() = lastFrameAtNanos.set(nowNanos())

    /** Records that the peer has received heartbeat number [sequence]. */
    fun recordConfirmation(sequence: Long) {
        if (sequence > confirmedSequence.getAndSet(sequence)) confirmedAtNanos.set(nowNanos())
    }

    /** Starts the measurement anew, since the time allowed becomes shorter when an idle connection becomes busy. */
    fun restart() {
        lastFrameAtNanos.set(nowNanos())
        confirmedAtNanos.set(nowNanos())
    }

    /** Whether the connection has to be closed. */
    val hasTimedOut: Boolean
        get() = silentMillis() > if (activity.isBusy) timing.silenceMillis else timing.idleSilenceMillis

    /** Whether half of the time has passed after which the connection is closed. */
    val isSuspect: Boolean
        get() {
            val half = timing.silenceMillis / 2
            return millisSince(lastFrameAtNanos) > half || millisSince(confirmedAtNanos) > half + timing.heartbeatMillis
        }

    /** Milliseconds since the last frame or since the last new confirmation, whichever is longer ago. */
    fun silentMillis(): Long = maxOf(millisSince(lastFrameAtNanos), millisSince(confirmedAtNanos))

    private fun millisSince(instant: AtomicLong): Long = (nowNanos() - instant.get()) / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
