package io.egretlock.process

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/** A numbered log event. Each binary has an enum of its own; docs/EVENTS.md lists them all. */
interface Event {
    /** Number that never changes its meaning: 1000 to 1999 for entries, 2000 to 2999 for agents. */
    val number: Int

    /** Level at which it is logged. */
    val level: Level

    /** What happened, without the particulars. */
    val meaning: String
}

/** Logs [event] with its particulars as named fields. */
fun KLogger.event(
    event: Event,
    vararg fields: Pair<String, Any?>,
) {
    at(event.level) {
        message = "${event.number} ${event.meaning}" + fields.joinToString("") { (name, value) -> " $name=$value" }
        payload = mapOf("event" to event.number) + fields.toMap()
    }
}
