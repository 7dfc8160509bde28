package io.egretlock.agent.run

import io.egretlock.process.Event
import io.github.oshai.kotlinlogging.Level

/** Numbered log events of [RunAgentProcess], listed in docs/EVENTS.md. */
enum class RunAgentEvent(
    override val number: Int,
    override val level: Level,
    override val meaning: String,
) : Event {
    STARTED(2500, Level.INFO, "Agent started."),
    DRAINING(2501, Level.INFO, "Draining: new runs are refused."),
    STOPPED(2502, Level.INFO, "Agent stopped."),
    SETTINGS_CHANGED(2503, Level.INFO, "The settings file was read again."),
    ENTRY_CONNECTED(2510, Level.INFO, "Connected to an entry."),
    ENTRY_LOST(2511, Level.WARN, "The connection to an entry ended; its runs are stopped."),
    PROCESS_PAUSED(2512, Level.WARN, "This process was paused; all connections to entries are closed."),
    DIRECTORY_OUTAGE(2520, Level.WARN, "The list of entries can't be read; the known entries remain in use."),
    DIRECTORY_RECOVERED(2521, Level.INFO, "The list of entries can be read again."),
    UPSTREAM_CHANGED(2530, Level.INFO, "The upstream announced itself, changed its state or left."),
    RUN_ORDERED(2540, Level.INFO, "Runs were ordered."),
    RUN_ENDED(2541, Level.INFO, "A run ended."),
    FENCED(2542, Level.WARN, "The upstream rejected a fencing token as too low; a higher one is used."),
    UNKNOWN_RUN(2543, Level.WARN, "The upstream lists a run that this agent has no record of; it is stopped."),
    COROUTINE_FAILED(2550, Level.ERROR, "A coroutine that the agent cannot do without failed; the process ends."),
}
