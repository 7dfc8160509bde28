package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/**
 * Keeps one entry's view of the rosters and takes part in changing them.
 *
 * A state machine without I/O: each input gives the outputs to carry out. `nowMillis` is this entry's clock, in
 * milliseconds since the epoch. Confined to one task; [view] may be handed to others.
 */
class RosterKeeper(
    private val self: EntryMember,
    private val timing: RosterTiming,
) {
    private val authority = ClaimAuthority(timing)
    private val changes = RosterChanges(self, timing)
    private var unsettledVersion: Long? = null
    private var storeRevision: Long? = null
    private var knownSinceMillis = 0L
    private var nextConfirmationMillis = Long.MIN_VALUE
    private var isReading = false
    private var isPublishing = false

    /** What this entry knows now. */
    var view = RosterView(self, timing)
        private set

    /** Handles one input. */
    fun accept(
        input: RosterInput,
        nowMillis: Long,
    ): List<RosterOutput> {
        val outputs = handle(input, nowMillis) + confirm(nowMillis) + publish(nowMillis)
        view = view.copy(horizonMillis = authority.horizonMillis)
        return outputs
    }

    private fun handle(
        input: RosterInput,
        nowMillis: Long,
    ): List<RosterOutput> =
        when (input) {
            is RosterInput.StoreRead -> storeRead(input, nowMillis)
            is RosterInput.StoreUnavailable -> storeUnavailable(nowMillis)
            is RosterInput.PublicationEnded -> silently { publicationEnded() }
            is RosterInput.HistoryTold -> learn(input.history, nowMillis)
            is RosterInput.PeerReachable -> silently { changes.reachable(input.entry) }
            is RosterInput.PeerUnreachable -> silently { changes.unreachable(input.entry, input.gone, nowMillis) }
            is RosterInput.PromiseAsked -> promiseAsked(input.question)
            is RosterInput.PromiseGiven -> silently { promiseGiven(input) }
            is RosterInput.JoinRequested -> silently { changes.joinRequested(input.member) }
            is RosterInput.ClaimsInherited -> inherit(input, nowMillis)
            is RosterInput.Leave -> leave(input.heir)
            is RosterInput.Tick -> emptyList()
        }

    private fun silently(change: () -> Unit): List<RosterOutput> {
        change()
        return emptyList()
    }

    private fun inherit(
        input: RosterInput.ClaimsInherited,
        nowMillis: Long,
    ): List<RosterOutput> {
        view = view.copy(inherited = view.inherited + input.entries)
        val history = view.history ?: return emptyList()
        return learn(history.copy(handovers = (history.handovers + input.handover).distinct()), nowMillis)
    }

    private fun storeRead(
        read: RosterInput.StoreRead,
        nowMillis: Long,
    ): List<RosterOutput> {
        isReading = false
        val readVersion = read.history?.newest?.version ?: 0
        if (readVersion < knownVersion() && read.startedAtMillis > knownSinceMillis) return emptyList()
        storeRevision = read.revision
        val outputs = read.history?.let { learn(it, nowMillis) }.orEmpty()
        if (view.history != null) authority.storeRead(read.startedAtMillis)
        return outputs
    }

    private fun storeUnavailable(nowMillis: Long): List<RosterOutput> {
        isReading = false
        storeRevision = null
        val history = view.history ?: return emptyList()
        val question = authority.ask(self.entry, history.newest.version, nowMillis)
        if (unsettledVersion == null) authority.confirmIfUnanimous(others(history))
        return listOf(RosterOutput.AskPromises(question, history.newest.members.filter { it.entry != self.entry }))
    }

    private fun publicationEnded() {
        isPublishing = false
        nextConfirmationMillis = Long.MIN_VALUE
    }

    private fun learn(
        told: RosterHistory,
        nowMillis: Long,
    ): List<RosterOutput> {
        val known = view.history
        val merged = (known?.mergedWith(told) ?: told).storedBy(nowMillis)
        view = view.copy(history = merged)
        if (known?.newest?.version == merged.newest.version && known.handovers == merged.handovers) return emptyList()
        if ((known?.newest?.version ?: 0) < merged.newest.version) newVersion(merged.newest.version, nowMillis)
        changes.rosterChanged(merged, nowMillis)
        return listOf(RosterOutput.TellHistory(merged))
    }

    private fun newVersion(
        version: Long,
        nowMillis: Long,
    ) {
        knownSinceMillis = nowMillis
        authority.forgetQuestion()
        unsettledVersion = unsettledVersion?.takeIf { it > version }
    }

    private fun promiseAsked(question: PromiseQuestion): List<RosterOutput> {
        val history = view.history ?: return emptyList()
        return when {
            history.newest.version > question.version -> listOf(RosterOutput.TellHistory(history))
            history.newest.version < question.version || unsettledVersion != null || !view.isMember -> emptyList()
            else -> listOf(RosterOutput.GivePromise(question))
        }
    }

    private fun promiseGiven(promise: RosterInput.PromiseGiven) {
        val history = view.history ?: return
        if (unsettledVersion == null) authority.promised(promise.from, promise.question, others(history))
    }

    private fun leave(heir: EntryMember?): List<RosterOutput> {
        if (!changes.leave()) return emptyList()
        val history = view.history ?: return emptyList()
        if (heir == null) return emptyList()
        val left = history.copy(handovers = history.handovers + Handover(self.entry, heir))
        view = view.copy(history = left)
        changes.rosterChanged(left, knownSinceMillis)
        return listOf(RosterOutput.TellHistory(left))
    }

    private fun confirm(nowMillis: Long): List<RosterOutput> {
        if (isReading || nowMillis < nextConfirmationMillis) return emptyList()
        isReading = true
        nextConfirmationMillis = nowMillis + timing.confirmMillis
        return listOf(RosterOutput.ReadStore) + joinRequest()
    }

    private fun joinRequest(): List<RosterOutput> {
        val history = view.history ?: return emptyList()
        if (view.isMember) return emptyList()
        return changes.sponsor(history)?.let { listOf(RosterOutput.RequestJoin(it)) }.orEmpty()
    }

    private fun publish(nowMillis: Long): List<RosterOutput> {
        val revision = storeRevision ?: return emptyList()
        if (isPublishing) return emptyList()
        val next = changes.successor(view.history, nowMillis) ?: return emptyList()
        isPublishing = true
        storeRevision = null
        unsettledVersion = next.newest.version
        return listOf(RosterOutput.Publish(next, revision))
    }

    private fun knownVersion(): Long = view.history?.newest?.version ?: 0

    private fun others(history: RosterHistory): Set<ProcessId> =
        history.newest.members
            .map { it.entry }
            .toSet() - self.entry
}
