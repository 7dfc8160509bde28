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
    DRAINING(2501, Level.INFO, "Draining: no new runs are taken."),
    STOPPED(2502, Level.INFO, "Agent stopped."),
    SETTINGS_CHANGED(2503, Level.INFO, "The settings file was read again."),
    ENTRY_CONNECTED(2510, Level.INFO, "Connected to an entry."),
    ENTRY_LOST(2511, Level.WARN, "The connection to an entry ended; its runs are stopped."),
    PROCESS_PAUSED(2512, Level.WARN, "This process stood still; all connections to entries are closed."),
    DIRECTORY_OUTAGE(2520, Level.WARN, "The list of entries can't be read; the known ones stay."),
    DIRECTORY_RECOVERED(2521, Level.INFO, "The list of entries is read again."),
    UPSTREAM_CHANGED(2530, Level.INFO, "The upstream announced itself, changed its state or left."),
    RUN_ORDERED(2540, Level.INFO, "Runs were ordered."),
    RUN_ENDED(2541, Level.INFO, "A run ended."),
    FENCED(2542, Level.WARN, "The upstream has seen a higher fencing token; a higher one is taken."),
    COROUTINE_FAILED(2550, Level.ERROR, "A task that the agent cannot do without failed; the process ends."),
}
