package io.egretlock.agent

import io.egretlock.process.Event
import io.github.oshai.kotlinlogging.Level

/** Numbered log events of an agent. docs/EVENTS.md lists them. */
enum class AgentEvent(
    override val number: Int,
    override val level: Level,
    override val meaning: String,
) : Event {
    STARTED(number = 2000, Level.INFO, "Agent started."),
    DRAINING(number = 2001, Level.INFO, "Agent draining: no new tasks are started."),
    STOPPED(number = 2002, Level.INFO, "Agent stopped."),
    DRAIN_INCOMPLETE(number = 2003, Level.WARN, "Draining timed out with running tasks or unacknowledged answers."),
    COROUTINE_FAILED(number = 2004, Level.ERROR, "A coroutine of the agent failed; the process ends."),
    UPSTREAM_ANNOUNCED(number = 2100, Level.INFO, "Upstream announced."),
    UPSTREAM_LEAVING(number = 2101, Level.INFO, "Upstream leaving: no new tasks are started on it."),
    UPSTREAM_UNREACHABLE(number = 2102, Level.WARN, "Upstream refuses connections: its slots are withheld."),
    UPSTREAM_WITHDRAWN(number = 2103, Level.WARN, "Upstream still unreachable: it is reported as absent."),
    UPSTREAM_REACHABLE(number = 2104, Level.INFO, "Upstream reachable again."),
    ANNOUNCEMENT_REJECTED(number = 2105, Level.WARN, "Announcement of an upstream rejected."),
    ENTRY_CONNECTED(number = 2200, Level.INFO, "Connected to an entry."),
    ENTRY_DISCONNECTED(number = 2201, Level.WARN, "Connection to an entry ended."),
    ENTRY_REDUNDANT(
        number = 2202,
        Level.INFO,
        "An earlier connection was closed: the entry is also connected under another address.",
    ),
    ENTRY_SILENT(number = 2203, Level.WARN, "Entry is silent: a second connection is opened."),
    DUPLICATE_START(number = 2300, Level.WARN, "Start of a task that was started before: ignored."),
    START_REFUSED(number = 2301, Level.DEBUG, "Start refused."),
    TASK_WITHOUT_ANSWER(number = 2302, Level.WARN, "Task ended without an answer."),
    SETTINGS_APPLIED(number = 2400, Level.INFO, "Settings applied."),
}
