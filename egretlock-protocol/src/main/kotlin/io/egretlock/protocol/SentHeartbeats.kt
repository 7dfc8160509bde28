package io.egretlock.protocol

/** Numbers the heartbeats that one end of a [Link] sends, and keeps the times at which the latest of them were sent. */
internal class SentHeartbeats(
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private val openedAtNanos = nowNanos()
    private val latestSentAtNanos = ArrayDeque<Long>()
    private var lastSequence = 0L

    /** Records that a heartbeat is sent now; returns its number, counted from 1. */
    fun next(): Long {
        if (latestSentAtNanos.size == KEPT_COUNT) latestSentAtNanos.removeFirst()
        latestSentAtNanos.addLast(nowNanos())
        return ++lastSequence
    }

    /**
     * Time since heartbeat number [sequence] was sent; since the connection was opened if that time is not known any
     * more or no such heartbeat was sent.
     */
    fun millisSince(sequence: Long): Long {
        val firstKept = lastSequence - latestSentAtNanos.size + 1
        val isKept = sequence in firstKept..lastSequence
        val sentAtNanos = if (isKept) latestSentAtNanos[(sequence - firstKept).toInt()] else openedAtNanos
        return (nowNanos() - sentAtNanos) / NANOS_PER_MILLI
    }

    private companion object {
        const val KEPT_COUNT = 32
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
