package io.egretlock.process

import io.egretlock.process.log.StructuredLogProvider
import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level
import java.util.concurrent.ConcurrentHashMap

/** A numbered log event. Each program has its own enum of events; docs/EVENTS.md lists all of them. */
interface Event {
    /** Number whose meaning never changes: 1000 to 1999 for entries, 2000 to 2999 for agents. */
    val number: Int

    /** Level at which the event is logged. */
    val level: Level

    /** Description of the event without its fields. */
    val meaning: String

    /**
     * Largest number of lines of this event that a process writes in a second. The next line after a gap names in
     * `omittedLines` how many were left out.
     */
    val linesPerSecond: Int
        get() = DEFAULT_LINES_PER_SECOND
}

/** Above the rate of any event of a process at its peak load, so that only a fault exceeds it. */
private const val DEFAULT_LINES_PER_SECOND = 1_000

private val budgets = ConcurrentHashMap<Int, LineBudget>()

/**
 * Logs [event] with [fields] as the payload, within the event's budget. The message has the fields too, unless the log
 * is structured and does not show it.
 */
fun KLogger.event(
    event: Event,
    vararg fields: Pair<String, Any?>,
) {
    val omitted =
        budgets.computeIfAbsent(event.number) { LineBudget(event.linesPerSecond) }.omittedBeforeLine() ?: return
    at(event.level) {
        message = if (StructuredLogProvider.isInstalled) event.meaning else messageOf(event, fields)
        payload = mapOf("event" to event.number) + fields.toMap() + omittedField(omitted)
    }
}

private fun messageOf(
    event: Event,
    fields: Array<out Pair<String, Any?>>,
): String = "${event.number} ${event.meaning}" + fields.joinToString("") { (name, value) -> " $name=$value" }

private fun omittedField(count: Long): Map<String, Any?> = if (count > 0) mapOf("omittedLines" to count) else emptyMap()
