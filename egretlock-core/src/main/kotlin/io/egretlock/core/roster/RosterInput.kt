package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/** Input of a [RosterStateMachine]. */
sealed interface RosterInput {
    /**
     * A read of the store succeeded.
     *
     * @property startedAtMillis this entry's clock before the read, in milliseconds since the epoch.
     * @property history null if the store holds none.
     * @property revision revision that a publication must expect; 0 if the store holds no history.
     */
    data class StoreRead(
        val startedAtMillis: Long,
        val history: RosterHistory?,
        val revision: Long,
    ) : RosterInput

    /** A read of the store failed. */
    data object StoreUnavailable : RosterInput

    /** A publication was stored, was refused or had no answer; the next read of the store shows which. */
    data object PublicationEnded : RosterInput

    /** A peer sent the rosters and handovers that it knows. */
    data class HistoryReceived(
        val history: RosterHistory,
    ) : RosterInput

    /** A peer answers on its connection. */
    data class PeerReachable(
        val entry: ProcessId,
    ) : RosterInput

    /**
     * A peer does not answer.
     *
     * @property hasEnded whether the peer's process is known to have ended.
     */
    data class PeerUnreachable(
        val entry: ProcessId,
        val hasEnded: Boolean,
    ) : RosterInput

    /** A peer asked for a promise. */
    data class PromiseRequested(
        val question: PromiseQuestion,
    ) : RosterInput

    /** A peer gave a promise. */
    data class PromiseReceived(
        val from: ProcessId,
        val question: PromiseQuestion,
    ) : RosterInput

    /** An entry asked this member to publish a roster that includes it. */
    data class JoinRequested(
        val member: EntryMember,
    ) : RosterInput

    /** This entry received by [handover] all claims of [entries]: the leaving entry and those it had inherited from. */
    data class ClaimsInherited(
        val entries: Set<ProcessId>,
        val handover: Handover,
    ) : RosterInput

    /**
     * This entry stops claiming and hands its claims over. Repeated inputs are ignored.
     *
     * @property heir null if this entry is the last member.
     */
    data class Leave(
        val heir: EntryMember?,
    ) : RosterInput

    /** Time has passed; confirmations and publications that are due start. */
    data object Tick : RosterInput
}
