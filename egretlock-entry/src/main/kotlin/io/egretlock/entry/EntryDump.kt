package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Roster
import kotlinx.serialization.Serializable

/** Whole state of an entry as operators see it. */
@Serializable
data class EntryDump(
    val self: EntryMember,
    val ready: Boolean,
    val requestsInFlight: Int,
    val rosters: List<Roster>,
    val home: HomeDump,
)
