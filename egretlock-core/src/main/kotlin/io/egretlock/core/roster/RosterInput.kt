package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/** Everything that a [RosterKeeper] is told. */
sealed interface RosterInput {
    /**
     * A read of the store ended.
     *
     * @property startedAtMillis this entry's clock before the call, in milliseconds since the epoch.
     * @property history null if the store holds none.
     * @property revision revision to base a publication on; 0 if the store holds none.
     */
    data class StoreRead(
        val startedAtMillis: Long,
        val history: RosterHistory?,
        val revision: Long,
    ) : RosterInput

    /** A read of the store failed. */
    data object StoreUnavailable : RosterInput

    /** A publication ended, whether stored, refused or without an answer. The next read of the store tells. */
    data object PublicationEnded : RosterInput

    /** A peer tells the rosters and handovers it knows. */
    data class HistoryTold(
        val history: RosterHistory,
    ) : RosterInput

    /** A peer answers on its connection. */
    data class PeerReachable(
        val entry: ProcessId,
    ) : RosterInput

    /**
     * A peer does not answer.
     *
     * @property gone whether its process is known to have ended.
     */
    data class PeerUnreachable(
        val entry: ProcessId,
        val gone: Boolean,
    ) : RosterInput

    /** A peer asks for a promise. */
    data class PromiseAsked(
        val question: PromiseQuestion,
    ) : RosterInput

    /** A peer gave a promise. */
    data class PromiseGiven(
        val from: ProcessId,
        val question: PromiseQuestion,
    ) : RosterInput

    /** An entry asks this member to publish a roster with it. */
    data class JoinRequested(
        val member: EntryMember,
    ) : RosterInput

    /** All claims of [entries], an entry that leaves and those it had inherited from, are here now by [handover]. */
    data class ClaimsInherited(
        val entries: Set<ProcessId>,
        val handover: Handover,
    ) : RosterInput

    /** This entry stops claiming and gives its claims to [heir]; null if it is the last. Only the first counts. */
    data class Leave(
        val heir: EntryMember?,
    ) : RosterInput

    /** Time has passed. */
    data object Tick : RosterInput
}
