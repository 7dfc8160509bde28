package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.RosterView
import kotlinx.serialization.Serializable

/** The state of an entry for operators. */
@Serializable
data class EntryDump(
    val self: EntryMember,
    val ready: Boolean,
    val requestsInFlight: Int,
    val rosters: RosterView,
    val home: HomeDump,
)
