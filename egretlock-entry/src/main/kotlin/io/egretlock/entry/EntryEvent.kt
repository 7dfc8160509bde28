package io.egretlock.entry

import io.egretlock.process.Event
import io.github.oshai.kotlinlogging.Level

/** Numbered log events of an entry, listed in docs/EVENTS.md. */
enum class EntryEvent(
    override val number: Int,
    override val level: Level,
    override val meaning: String,
) : Event {
    STARTED(1000, Level.INFO, "Entry started."),
    DRAINING(1001, Level.INFO, "Draining: no new jobs are accepted."),
    STOPPED(1002, Level.INFO, "Entry stopped."),
    DRAIN_TIMED_OUT(1003, Level.WARN, "Draining timed out; requests or jobs were left."),
    COROUTINE_FAILED(1004, Level.ERROR, "A coroutine that the entry cannot do without failed; the process ends."),
    AGENT_CONNECTED(1100, Level.INFO, "Agent connected."),
    AGENT_DISCONNECTED(1101, Level.WARN, "Connection to an agent ended."),
    PEER_CONNECTED(1110, Level.INFO, "Connected to another entry."),
    PEER_DISCONNECTED(1111, Level.WARN, "Connection to another entry ended."),
    SETTINGS_APPLIED(1200, Level.INFO, "Settings of a team are in force."),
    SETTINGS_UNREADABLE(
        1201,
        Level.ERROR,
        "Stored settings of a team cannot be read; the previous ones remain in force.",
    ),
    SETTINGS_WATCHED(1202, Level.INFO, "All settings were read; the store is watched from that revision on."),
    SETTINGS_WATCH_INTERRUPTED(1203, Level.WARN, "The watch of the settings ended and is restarted."),
    SETTINGS_EDITED(1204, Level.INFO, "An edit of settings by an operator ended; see its outcome."),
    STORE_OLDER_STATE(1205, Level.ERROR, "The store answered with an older state, which is ignored."),
    STORE_UNAVAILABLE(1300, Level.WARN, "The key-value service did not answer."),
    ROSTER_ADOPTED(1400, Level.INFO, "A new roster or handover is known."),
    HANDED_OVER(1401, Level.INFO, "All claims were handed over to another entry."),
    HANDOVER_FAILED(
        1402,
        Level.WARN,
        "The last part of a handover was not answered; its jobs may be answered as may have run.",
    ),
    HANDOVER_REFUSED(1403, Level.INFO, "An entry refused or did not answer a handover; this entry claims jobs again."),
}
