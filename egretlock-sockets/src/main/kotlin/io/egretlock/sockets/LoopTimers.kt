package io.egretlock.sockets

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Runnable
import java.util.PriorityQueue

/** Something to be done at a time of [System.nanoTime], unless it is disposed of before. */
internal class LoopTimer(
    val atNanos: Long,
    action: Runnable,
) : DisposableHandle {
    /** Null once it is disposed of. */
    @Volatile
    var action: Runnable? = action
        private set

    override fun dispose() {
        action = null
    }
}

/** The timers of an [EventLoop], which uses them on its thread only. Disposed ones are left out as they come up. */
internal class LoopTimers {
    private val queue = PriorityQueue<LoopTimer> { one, other -> (one.atNanos - other.atNanos).compareTo(0) }

    fun add(timer: LoopTimer) {
        if (timer.action != null) queue.add(timer)
    }

    /** Removes and returns the next action that is due; null if none is. */
    fun nextDue(nowNanos: Long): Runnable? {
        val next = next() ?: return null
        if (next.atNanos - nowNanos > 0) return null
        queue.remove()
        return next.action
    }

    /** Time until the next timer is due, in milliseconds, rounded up; a minute if there is none. */
    fun waitMillis(nowNanos: Long): Long {
        val next = next() ?: return IDLE_WAIT_MILLIS
        val millis = (next.atNanos - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
        return millis.coerceIn(0, IDLE_WAIT_MILLIS)
    }

    private fun next(): LoopTimer? {
        while (queue.isNotEmpty() && queue.peek().action == null) queue.remove()
        return queue.peek()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Wait without any timer; what comes in ends it, so that its length does not matter. */
        const val IDLE_WAIT_MILLIS = 60_000L
    }
}
