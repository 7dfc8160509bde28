package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/**
 * Decides which change of the roster one entry publishes next: at most one member is added or removed at a time.
 *
 * An entry that is no member asks one to add it. It publishes a roster of its own only if the store holds none, or if no
 * member answers; unless all of them are known to have ended, that roster is held back for as long as promises could
 * have carried them.
 */
internal class RosterChanges(
    private val self: EntryMember,
    private val timing: RosterTiming,
) {
    private val unreachableSince = mutableMapOf<ProcessId, Long>()
    private val gone = mutableSetOf<ProcessId>()
    private val joiners = linkedMapOf<ProcessId, EntryMember>()
    private var members: Set<ProcessId> = emptySet()
    private var isLeaving = false

    fun reachable(entry: ProcessId) {
        unreachableSince -= entry
    }

    fun unreachable(
        entry: ProcessId,
        isGone: Boolean,
        nowMillis: Long,
    ) {
        unreachableSince.putIfAbsent(entry, nowMillis)
        if (isGone) gone += entry
    }

    fun joinRequested(member: EntryMember) {
        joiners[member.entry] = member
    }

    /** Begins to leave; false if it had begun before. */
    fun leave(): Boolean = !isLeaving.also { isLeaving = true }

    /** Members that are new count as unreachable until they answer. */
    fun rosterChanged(
        history: RosterHistory,
        nowMillis: Long,
    ) {
        val present =
            history.newest.members
                .map { it.entry }
                .toSet()
        (present - members - self.entry).forEach { unreachableSince.putIfAbsent(it, nowMillis) }
        members = present
        joiners.keys -= present
        unreachableSince.keys.retainAll(present)
        gone.retainAll(present)
    }

    /** A member that can be asked to add this entry. */
    fun sponsor(history: RosterHistory): EntryMember? =
        if (isLeaving) {
            null
        } else {
            history.newest.members.firstOrNull {
                it.entry !in unreachableSince &&
                    stays(history, it)
            }
        }

    /** The history to publish now; null if nothing is to be changed. */
    fun successor(
        history: RosterHistory?,
        nowMillis: Long,
    ): RosterHistory? {
        if (history == null) return if (isLeaving) null else RosterHistory(listOf(firstRoster()))
        val members = history.newest.members
        return when {
            members.none { it.entry == self.entry } -> takeOver(history, nowMillis)
            else -> nextMembers(history, nowMillis)?.let { extended(history, it, timing.windowMillis, nowMillis) }
        }
    }

    private fun firstRoster() = Roster(version = 1, effectiveFromMillis = 0, members = listOf(self))

    private fun takeOver(
        history: RosterHistory,
        nowMillis: Long,
    ): RosterHistory? {
        val members = history.newest.members
        val allEnded = members.all(::hasEnded)
        val allSilent = members.all { isUnreachable(it.entry, timing.takeOverAfterMillis, nowMillis) }
        if (isLeaving || !(allEnded || allSilent)) return null
        val holdMillis = if (allEnded) timing.windowMillis else timing.promiseLimitMillis
        return extended(history, listOf(self), holdMillis, nowMillis)
    }

    private fun nextMembers(
        history: RosterHistory,
        nowMillis: Long,
    ): List<EntryMember>? {
        val members = history.newest.members
        val removed = members.firstOrNull { it.entry != self.entry && isToRemove(it, nowMillis) }
        val joiner = joiners.values.firstOrNull { joiner -> members.none { it.entry.name == joiner.entry.name } }
        return when {
            removed != null -> members - removed
            isLeaving -> emptyList<EntryMember>().takeIf { members.size == 1 && stays(history, self) }
            joiner != null -> members + joiner
            else -> null
        }
    }

    private fun isToRemove(
        member: EntryMember,
        nowMillis: Long,
    ): Boolean {
        val superseded = joiners.values.any { it.entry.name == member.entry.name && it.entry != member.entry }
        return superseded || isLost(member.entry, nowMillis)
    }

    private fun stays(
        history: RosterHistory,
        member: EntryMember,
    ): Boolean = history.handovers.none { it.from == member.entry }

    private fun isLost(
        entry: ProcessId,
        nowMillis: Long,
    ): Boolean = entry in gone || isUnreachable(entry, timing.lostAfterMillis, nowMillis)

    private fun isUnreachable(
        entry: ProcessId,
        forMillis: Long,
        nowMillis: Long,
    ): Boolean = (unreachableSince[entry] ?: Long.MAX_VALUE) <= nowMillis - forMillis

    /** An address belongs to one live process at a time, so that a member at this entry's own address has ended. */
    private fun hasEnded(member: EntryMember): Boolean = member.entry in gone || member.address == self.address

    private fun extended(
        history: RosterHistory,
        members: List<EntryMember>,
        holdMillis: Long,
        nowMillis: Long,
    ): RosterHistory {
        val effectiveFromMillis = nowMillis + timing.effectDelayMillis(holdMillis)
        val next =
            Roster(
                version = history.newest.version + 1,
                effectiveFromMillis = maxOf(effectiveFromMillis, history.newest.effectiveFromMillis),
                members = members,
                holdMillis = holdMillis,
            )
        val retainedFromMillis = nowMillis - maxOf(timing.retentionMillis, timing.promiseLimitMillis)
        return history.succeededBy(next, retainedFromMillis)
    }
}
