package io.egretlock.core.roster

/** Action that a [RosterStateMachine] asks its caller to execute. */
sealed interface RosterOutput {
    /** Read the history from the store. */
    data object ReadStore : RosterOutput

    /** Write [history] by compare-and-swap on [expectedRevision]. */
    data class Publish(
        val history: RosterHistory,
        val expectedRevision: Long,
    ) : RosterOutput

    /** Send [question] to [members]. */
    data class RequestPromises(
        val question: PromiseQuestion,
        val members: List<EntryMember>,
    ) : RosterOutput

    /** Send a promise to the asker of [question]. */
    data class SendPromise(
        val question: PromiseQuestion,
    ) : RosterOutput

    /** Send [history] to all entries and agents. */
    data class BroadcastHistory(
        val history: RosterHistory,
    ) : RosterOutput

    /** Ask [member] to publish a roster that includes this entry. */
    data class RequestJoin(
        val member: EntryMember,
    ) : RosterOutput
}
