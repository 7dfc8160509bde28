package io.egretlock.entry.run

import io.egretlock.process.Event
import io.github.oshai.kotlinlogging.Level

/** Numbered log events of [RunEntryProcess], listed in docs/EVENTS.md. */
enum class RunEntryEvent(
    override val number: Int,
    override val level: Level,
    override val meaning: String,
) : Event {
    STARTED(1500, Level.INFO, "Entry started."),
    DRAINING(1501, Level.INFO, "Draining: new connections should go elsewhere."),
    STOPPED(1502, Level.INFO, "Entry stopped."),
    SETTINGS_CHANGED(1503, Level.INFO, "The settings file was read again."),
    AGENT_CONNECTED(1510, Level.INFO, "Agent connected."),
    AGENT_LOST(1511, Level.WARN, "The connection to an agent ended."),
    AGENT_CHANGED(1512, Level.INFO, "An agent's upstream changed."),
    ENTRIES_CHANGED(1513, Level.INFO, "The set of other entries that must confirm jobs changed."),
    STOOD_STILL(1514, Level.WARN, "This process stood still, or the wall clock was set."),
    DIRECTORY_OUTAGE(1520, Level.WARN, "The store could not be reached for the list of entries."),
    DIRECTORY_RECOVERED(1521, Level.INFO, "The store is reached again for the list of entries."),
    CONFIGURATION_APPLIED(1530, Level.INFO, "A version of the configuration was applied."),
    CONFIGURATION_UNREADABLE(
        1531,
        Level.ERROR,
        "A version of the configuration can't be read; the current one remains.",
    ),
    CONFIGURATION_OUTAGE(1532, Level.WARN, "The store could not be reached for the configuration."),
    CONFIGURATION_RECOVERED(1533, Level.INFO, "The store is reached again for the configuration."),
    JOB_ACCEPTED(1540, Level.INFO, "A job was accepted."),
    JOB_RESUBMITTED(1541, Level.INFO, "A job that this entry already has was submitted again."),
    RUNS_ORDERED(1542, Level.INFO, "Runs were ordered from an agent."),
    RUN_STOPPED(1543, Level.INFO, "An agent was asked to stop a run."),
    RUN_ENDED(1544, Level.INFO, "A run ended."),
    JOB_ANSWERED(1545, Level.INFO, "A job was answered."),
    JOB_ABANDONED(1546, Level.INFO, "All callers of a job disconnected; the job ends."),
    JOB_JOINED(
        1547,
        Level.INFO,
        "A job that another entry works on was submitted here; the callers wait for its answer.",
    ),
    JOB_YIELDED(1548, Level.WARN, "A job is given up here, since another entry works on it."),
    JOIN_ENDED(1549, Level.INFO, "A job that another entry worked on is started here."),
    COROUTINE_FAILED(1550, Level.ERROR, "A coroutine that the entry cannot do without failed; the process ends."),
}
