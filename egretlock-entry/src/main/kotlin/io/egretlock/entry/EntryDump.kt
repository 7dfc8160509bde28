package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.RosterView
import kotlinx.serialization.Serializable

/** Whole state of an entry as operators see it. */
@Serializable
data class EntryDump(
    val self: EntryMember,
    val ready: Boolean,
    val requestsInFlight: Int,
    val rosters: RosterView,
    val home: HomeDump,
)
