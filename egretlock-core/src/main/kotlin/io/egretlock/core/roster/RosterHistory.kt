package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/** Transfer of all claims of the leaving entry [from] to [heir]. An entry hands over at most once. */
@Serializable
data class Handover(
    val from: ProcessId,
    val heir: EntryMember,
)

/**
 * All rosters that can still decide a job's home, oldest first, and the handovers between their members. The platform's
 * store holds this value. Each new version only adds to it, apart from rosters that no job needs any more.
 */
@Serializable
data class RosterHistory(
    val rosters: List<Roster>,
    val handovers: List<Handover> = emptyList(),
) {
    /** The roster that was published last; it may not be in effect yet. */
    val newest: Roster
        get() = rosters.last()

    /** Index in [rosters] of the one in effect at [createdAtMillis]; -1 if all of them took effect later. */
    fun indexAt(createdAtMillis: Long): Int = rosters.indexOfLast { it.effectiveFromMillis <= createdAtMillis }

    /** Home of [id] under the roster at [index]; null if that roster has no members. */
    fun homeAt(
        index: Int,
        id: JobId,
    ): EntryMember? = RendezvousHash.home(rosters[index].members, id)

    /** The entry that holds the claims of [member] now: itself or the last heir in its chain of handovers. */
    fun holderOf(member: EntryMember): EntryMember {
        val handover = handovers.firstOrNull { it.from == member.entry }
        return if (handover == null) member else holderOf(handover.heir)
    }

    /** The newer of this history and [other], with the handovers of both and each roster's earlier stored time. */
    fun mergedWith(other: RosterHistory): RosterHistory {
        val longer = if (other.newest.version > newest.version) other else this
        val shorter = if (longer === this) other else this
        return RosterHistory(
            rosters = longer.rosters.map { roster -> shorter.withEarlierStoredTime(roster) },
            handovers = (handovers + other.handovers).distinct(),
        )
    }

    /** This history with all rosters marked as stored by [nowMillis] at the latest. */
    fun storedBy(nowMillis: Long): RosterHistory =
        copy(rosters = rosters.map { it.copy(storedByMillis = minOf(it.storedByMillis ?: nowMillis, nowMillis)) })

    /** This history with [next] added and without rosters that no job created since [retainedFromMillis] needs. */
    fun succeededBy(
        next: Roster,
        retainedFromMillis: Long,
    ): RosterHistory {
        val extended = rosters + next
        val firstNeeded = extended.indexOfLast { it.effectiveFromMillis <= retainedFromMillis }.coerceAtLeast(0)
        val retained = extended.drop(firstNeeded)
        val memberIds = retained.flatMap { roster -> roster.members.map { it.entry } }.toSet()
        return RosterHistory(retained, handovers.filter { isOnHandoverChain(it.from, memberIds) })
    }

    private fun isOnHandoverChain(
        from: ProcessId,
        memberIds: Set<ProcessId>,
    ): Boolean = from in memberIds || handovers.any { it.heir.entry == from && isOnHandoverChain(it.from, memberIds) }

    private fun withEarlierStoredTime(roster: Roster): Roster {
        val ownStoredByMillis = rosters.firstOrNull { it.version == roster.version }?.storedByMillis
        return roster.copy(storedByMillis = listOfNotNull(roster.storedByMillis, ownStoredByMillis).minOrNull())
    }
}
