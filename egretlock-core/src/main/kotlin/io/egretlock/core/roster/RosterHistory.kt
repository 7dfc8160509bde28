package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/** An entry left and gave all its claims to [heir]. An entry does so at most once. */
@Serializable
data class Handover(
    val from: ProcessId,
    val heir: EntryMember,
)

/**
 * All rosters that can still decide a job's home, oldest first, and the handovers between their members. This is the
 * value in the platform's store; it is only ever extended.
 */
@Serializable
data class RosterHistory(
    val rosters: List<Roster>,
    val handovers: List<Handover> = emptyList(),
) {
    /** The roster that was published last; it may take effect only later. */
    val newest: Roster
        get() = rosters.last()

    /** Position in [rosters] of the one in force at [createdAtMillis]; -1 if it is too long ago. */
    fun indexAt(createdAtMillis: Long): Int = rosters.indexOfLast { it.effectiveFromMillis <= createdAtMillis }

    /** Home of [id] under the roster at [index]; null if that has no members. */
    fun homeAt(
        index: Int,
        id: JobId,
    ): EntryMember? = RendezvousHash.home(rosters[index].members, id)

    /** The entry that holds the claims of [member] now: itself, or the last of its heirs. */
    fun holderOf(member: EntryMember): EntryMember {
        val handover = handovers.firstOrNull { it.from == member.entry }
        return if (handover == null) member else holderOf(handover.heir)
    }

    /** This history and what [other] knows beyond it. Of two times at which a roster was stored, the earlier counts. */
    fun mergedWith(other: RosterHistory): RosterHistory {
        val longer = if (other.newest.version > newest.version) other else this
        val shorter = if (longer === this) other else this
        return RosterHistory(
            rosters = longer.rosters.map { roster -> shorter.withEarlierStoring(roster) },
            handovers = (handovers + other.handovers).distinct(),
        )
    }

    /** Marks all rosters as stored by [nowMillis] at the latest. */
    fun storedBy(nowMillis: Long): RosterHistory =
        copy(rosters = rosters.map { it.copy(storedByMillis = minOf(it.storedByMillis ?: nowMillis, nowMillis)) })

    /** Extends the history by [next] and drops rosters that no job created since [retainedFromMillis] needs. */
    fun succeededBy(
        next: Roster,
        retainedFromMillis: Long,
    ): RosterHistory {
        val extended = rosters + next
        val firstNeeded = extended.indexOfLast { it.effectiveFromMillis <= retainedFromMillis }.coerceAtLeast(0)
        val kept = extended.drop(firstNeeded)
        val named = kept.flatMap { roster -> roster.members.map { it.entry } }.toSet()
        return RosterHistory(kept, handovers.filter { isReachable(it.from, named) })
    }

    private fun isReachable(
        from: ProcessId,
        named: Set<ProcessId>,
    ): Boolean = from in named || handovers.any { it.heir.entry == from && isReachable(it.from, named) }

    private fun withEarlierStoring(roster: Roster): Roster {
        val mine = rosters.firstOrNull { it.version == roster.version }?.storedByMillis
        return roster.copy(storedByMillis = listOfNotNull(roster.storedByMillis, mine).minOrNull())
    }
}
