package io.egretlock.sockets

import kotlinx.coroutines.DisposableHandle
import kotlinx.coroutines.Runnable
import java.util.PriorityQueue

/** An action that is due at [dueNanos], a time of [System.nanoTime], unless it is disposed of earlier. */
internal class LoopTimer(
    val dueNanos: Long,
    action: Runnable,
) : DisposableHandle {
    /** Null once the timer is disposed of. */
    @Volatile
    var action: Runnable? = action
        private set

    override fun dispose() {
        action = null
    }
}

/** Timers of an [EventLoop], used on its thread only. Disposed timers are removed once they reach the queue's head. */
internal class LoopTimers {
    private val queue = PriorityQueue<LoopTimer> { one, other -> (one.dueNanos - other.dueNanos).compareTo(0) }

    fun add(timer: LoopTimer) {
        if (timer.action != null) queue.add(timer)
    }

    /** Removes and returns the next action that is due; null if none is. */
    fun pollDue(nowNanos: Long): Runnable? {
        val next = next() ?: return null
        if (next.dueNanos - nowNanos > 0) return null
        queue.remove()
        return next.action
    }

    /** Time until the next timer is due, in milliseconds, rounded up; a minute if there is none. */
    fun waitMillis(nowNanos: Long): Long {
        val next = next() ?: return IDLE_WAIT_MILLIS
        val millis = (next.dueNanos - nowNanos + NANOS_PER_MILLI - 1) / NANOS_PER_MILLI
        return millis.coerceIn(0, IDLE_WAIT_MILLIS)
    }

    private fun next(): LoopTimer? {
        while (queue.isNotEmpty() && queue.peek().action == null) queue.remove()
        return queue.peek()
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Longest wait, also without timers. Tasks and sockets end it early, so that its length does not matter. */
        const val IDLE_WAIT_MILLIS = 60_000L
    }
}
