package io.egretlock.bench.simulation

import java.util.PriorityQueue

/** Virtual time and the actions that are due in it. */
internal class EventQueue {
    private val events = PriorityQueue(compareBy<Event> { it.atMillis }.thenBy { it.sequence })
    private var sequence = 0L

    /** Virtual time in milliseconds. */
    var nowMillis = 0.0
        private set

    /** Runs [action] at [atMillis], after those already due at that time. */
    fun at(
        atMillis: Double,
        action: () -> Unit,
    ) {
        events += Event(maxOf(atMillis, nowMillis), sequence++, action)
    }

    /** Runs all actions in order of time until none is left. */
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
