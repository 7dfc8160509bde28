package io.egretlock.process

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/** A numbered log event. Each program has its own enum of events; docs/EVENTS.md lists all of them. */
interface Event {
    /** Number whose meaning never changes: 1000 to 1999 for entries, 2000 to 2999 for agents. */
    val number: Int

    /** Level at which the event is logged. */
    val level: Level

    /** Description of the event without its fields. */
    val meaning: String
}

/** Logs [event] with [fields], both in the message and as the payload. */
fun KLogger.event(
    event: Event,
    vararg fields: Pair<String, Any?>,
) {
    at(event.level) {
        message = "${event.number} ${event.meaning}" + fields.joinToString("") { (name, value) -> " $name=$value" }
        payload = mapOf("event" to event.number) + fields.toMap()
    }
}
