package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/**
 * State machine that keeps one entry's view of the rosters and publishes changes to them.
 *
 * It does no I/O: each input returns the outputs to execute. `nowMillis` is this entry's clock, in milliseconds since
 * the epoch. Confined to one task; [view] is immutable and may be passed to other tasks.
 */
class RosterStateMachine(
    private val self: EntryMember,
    private val timing: RosterTiming,
) {
    private val authority = ClaimAuthority(timing)
    private val changes = RosterChanges(self, timing)

    /** Version of this entry's last publication while it is unknown whether the store has accepted it. */
    private var unsettledVersion: Long? = null
    private var storeRevision: Long? = null
    private var newestKnownSinceMillis = 0L
    private var nextConfirmationMillis = Long.MIN_VALUE
    private var isReading = false
    private var isPublishing = false

    /** What this entry knows now. */
    var view = RosterView(self, timing)
        private set

    /** Handles [input] and returns the outputs to execute. */
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
            is RosterInput.StoreRead -> handleStoreRead(input, nowMillis)
            is RosterInput.StoreUnavailable -> handleStoreUnavailable(nowMillis)
            is RosterInput.PublicationEnded -> update { handlePublicationEnd() }
            is RosterInput.HistoryReceived -> merge(input.history, nowMillis)
            is RosterInput.PeerReachable -> update { changes.markReachable(input.entry) }
            is RosterInput.PeerUnreachable -> update { changes.markUnreachable(input.entry, input.hasEnded, nowMillis) }
            is RosterInput.PromiseRequested -> answerPromiseRequest(input.question)
            is RosterInput.PromiseReceived -> update { recordPromise(input) }
            is RosterInput.JoinRequested -> update { changes.addJoinRequest(input.member) }
            is RosterInput.ClaimsInherited -> inherit(input, nowMillis)
            is RosterInput.Leave -> leave(input.heir)
            is RosterInput.Tick -> emptyList()
        }

    private fun update(change: () -> Unit): List<RosterOutput> {
        change()
        return emptyList()
    }

    private fun inherit(
        input: RosterInput.ClaimsInherited,
        nowMillis: Long,
    ): List<RosterOutput> {
        view = view.copy(inherited = view.inherited + input.entries)
        val history = view.history ?: return emptyList()
        return merge(history.copy(handovers = (history.handovers + input.handover).distinct()), nowMillis)
    }

    private fun handleStoreRead(
        read: RosterInput.StoreRead,
        nowMillis: Long,
    ): List<RosterOutput> {
        isReading = false
        val readVersion = read.history?.newest?.version ?: 0
        if (readVersion < knownVersion() && read.startedAtMillis > newestKnownSinceMillis) return emptyList()
        storeRevision = read.revision
        val outputs = read.history?.let { merge(it, nowMillis) }.orEmpty()
        if (view.history != null) authority.recordStoreRead(read.startedAtMillis)
        return outputs
    }

    private fun handleStoreUnavailable(nowMillis: Long): List<RosterOutput> {
        isReading = false
        storeRevision = null
        val history = view.history ?: return emptyList()
        val question = authority.ask(self.entry, history.newest.version, nowMillis)
        if (unsettledVersion == null) authority.confirmIfUnanimous(otherMembers(history))
        return listOf(RosterOutput.RequestPromises(question, history.newest.members.filter { it.entry != self.entry }))
    }

    private fun handlePublicationEnd() {
        isPublishing = false
        nextConfirmationMillis = Long.MIN_VALUE
    }

    private fun merge(
        received: RosterHistory,
        nowMillis: Long,
    ): List<RosterOutput> {
        val known = view.history
        val merged = (known?.mergedWith(received) ?: received).storedBy(nowMillis)
        view = view.copy(history = merged)
        if (known?.newest?.version == merged.newest.version && known.handovers == merged.handovers) return emptyList()
        if ((known?.newest?.version ?: 0) < merged.newest.version) adoptVersion(merged.newest.version, nowMillis)
        changes.updateMembers(merged, nowMillis)
        return listOf(RosterOutput.BroadcastHistory(merged))
    }

    private fun adoptVersion(
        version: Long,
        nowMillis: Long,
    ) {
        newestKnownSinceMillis = nowMillis
        authority.discardQuestion()
        unsettledVersion = unsettledVersion?.takeIf { it > version }
    }

    private fun answerPromiseRequest(question: PromiseQuestion): List<RosterOutput> {
        val history = view.history ?: return emptyList()
        return when {
            history.newest.version > question.version -> listOf(RosterOutput.BroadcastHistory(history))
            history.newest.version < question.version || unsettledVersion != null || !view.isMember -> emptyList()
            else -> listOf(RosterOutput.SendPromise(question))
        }
    }

    private fun recordPromise(promise: RosterInput.PromiseReceived) {
        val history = view.history ?: return
        if (unsettledVersion == null) authority.recordPromise(promise.from, promise.question, otherMembers(history))
    }

    private fun leave(heir: EntryMember?): List<RosterOutput> {
        if (!changes.startLeaving()) return emptyList()
        val history = view.history ?: return emptyList()
        if (heir == null) return emptyList()
        val afterLeaving = history.copy(handovers = history.handovers + Handover(self.entry, heir))
        view = view.copy(history = afterLeaving)
        changes.updateMembers(afterLeaving, newestKnownSinceMillis)
        return listOf(RosterOutput.BroadcastHistory(afterLeaving))
    }

    private fun confirm(nowMillis: Long): List<RosterOutput> {
        if (isReading || nowMillis < nextConfirmationMillis) return emptyList()
        isReading = true
        nextConfirmationMillis = nowMillis + timing.confirmMillis
        return listOf(RosterOutput.ReadStore) + requestJoin()
    }

    private fun requestJoin(): List<RosterOutput> {
        val history = view.history ?: return emptyList()
        if (view.isMember) return emptyList()
        return changes.joinTarget(history)?.let { listOf(RosterOutput.RequestJoin(it)) }.orEmpty()
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

    private fun otherMembers(history: RosterHistory): Set<ProcessId> =
        history.newest.members
            .map { it.entry }
            .toSet() - self.entry
}
