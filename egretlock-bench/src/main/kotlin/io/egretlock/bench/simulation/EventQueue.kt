package io.egretlock.bench.simulation

import java.util.PriorityQueue

/** Event loop in virtual time: a queue of actions, ordered by due time. */
internal class EventQueue {
    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    /** Virtual time in milliseconds. */
    var nowMillis = 0.0
        private set

    /** Schedules [action] at [atMillis], or now if that is past. Actions due at the same time run in FIFO order. */
    fun at(
        atMillis: Double,
        action: () -> Unit,
    ) {
        events += Event(maxOf(atMillis, nowMillis), sequence++, action)
    }

    /** Runs the actions in order of their due time until the queue is empty. */
    fun run() {
        while (true) {
            val event = events.poll() ?: return
            nowMillis = event.atMillis
            event.action()
        }
    }

    private class Event(
        val atMillis: Double,
        val sequence: Long,
        val action: () -> Unit,
    )
}
