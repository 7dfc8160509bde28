package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/**
 * Decides which roster one entry publishes next. Each roster adds or removes at most one member.
 *
 * An entry that is not a member asks a member to add it. It publishes a roster of its own only if the store holds none
 * or if no member answers. Unless all members are known to have ended, the [Roster.holdMillis] of that roster is the
 * promise limit, as promises may let the members claim jobs for that long without a store read.
 */
internal class RosterChanges(
    private val self: EntryMember,
    private val timing: RosterTiming,
) {
    private val unreachableSince = mutableMapOf<ProcessId, Long>()
    private val endedMembers = mutableSetOf<ProcessId>()
    private val joiners = linkedMapOf<ProcessId, EntryMember>()
    private var members: Set<ProcessId> = emptySet()
    private var isLeaving = false

    fun markReachable(entry: ProcessId) {
        unreachableSince -= entry
    }

    fun markUnreachable(
        entry: ProcessId,
        hasEnded: Boolean,
        nowMillis: Long,
    ) {
        unreachableSince.putIfAbsent(entry, nowMillis)
        if (hasEnded) endedMembers += entry
    }

    fun addJoinRequest(member: EntryMember) {
        joiners[member.entry] = member
    }

    /** Marks this entry as leaving; false if it was leaving already. */
    fun startLeaving(): Boolean = !isLeaving.also { isLeaving = true }

    /** Records the members of the newest roster. New members count as unreachable until they answer. */
    fun updateMembers(
        history: RosterHistory,
        nowMillis: Long,
    ) {
        val currentMembers =
            history.newest.members
                .map { it.entry }
                .toSet()
        (currentMembers - members - self.entry).forEach { unreachableSince.putIfAbsent(it, nowMillis) }
        members = currentMembers
        joiners.keys -= currentMembers
        unreachableSince.keys.retainAll(currentMembers)
        endedMembers.retainAll(currentMembers)
    }

    /** The member to ask to add this entry; null if none is reachable or this entry is leaving. */
    fun joinTarget(history: RosterHistory): EntryMember? =
        if (isLeaving) {
            null
        } else {
            history.newest.members.firstOrNull {
                it.entry !in unreachableSince &&
                    isStaying(history, it)
            }
        }

    /** The history to publish now; null if the roster needs no change. */
    fun successor(
        history: RosterHistory?,
        nowMillis: Long,
    ): RosterHistory? {
        if (history == null) return if (isLeaving) null else RosterHistory(listOf(firstRoster()))
        val members = history.newest.members
        return when {
            members.none { it.entry == self.entry } -> takeOver(history, nowMillis)
            else -> nextMembers(history, nowMillis)?.let { extendHistory(history, it, timing.windowMillis, nowMillis) }
        }
    }

    private fun firstRoster() = Roster(version = 1, effectiveFromMillis = 0, members = listOf(self))

    private fun takeOver(
        history: RosterHistory,
        nowMillis: Long,
    ): RosterHistory? {
        val members = history.newest.members
        val allEnded = members.all(::hasEnded)
        val allUnreachable = members.all { isUnreachable(it.entry, timing.takeOverAfterMillis, nowMillis) }
        if (isLeaving || !(allEnded || allUnreachable)) return null
        val holdMillis = if (allEnded) timing.windowMillis else timing.promiseLimitMillis
        return extendHistory(history, listOf(self), holdMillis, nowMillis)
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
            isLeaving -> emptyList<EntryMember>().takeIf { members.size == 1 && isStaying(history, self) }
            joiner != null -> members + joiner
            else -> null
        }
    }

    private fun isToRemove(
        member: EntryMember,
        nowMillis: Long,
    ): Boolean {
        val isSuperseded = joiners.values.any { it.entry.name == member.entry.name && it.entry != member.entry }
        return isSuperseded || isLost(member.entry, nowMillis)
    }

    private fun isStaying(
        history: RosterHistory,
        member: EntryMember,
    ): Boolean = history.handovers.none { it.from == member.entry }

    private fun isLost(
        entry: ProcessId,
        nowMillis: Long,
    ): Boolean = entry in endedMembers || isUnreachable(entry, timing.lostAfterMillis, nowMillis)

    private fun isUnreachable(
        entry: ProcessId,
        forMillis: Long,
        nowMillis: Long,
    ): Boolean = (unreachableSince[entry] ?: Long.MAX_VALUE) <= nowMillis - forMillis

    /** An address belongs to one live process at a time, so another member at this entry's own address has ended. */
    private fun hasEnded(member: EntryMember): Boolean = member.entry in endedMembers || member.address == self.address

    private fun extendHistory(
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
