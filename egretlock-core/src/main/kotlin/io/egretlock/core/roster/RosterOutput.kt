package io.egretlock.core.roster

/** What a [RosterKeeper] wants done. */
sealed interface RosterOutput {
    /** Read the history from the store. */
    data object ReadStore : RosterOutput

    /** Write [history] by compare-and-swap on [expectedRevision]. */
    data class Publish(
        val history: RosterHistory,
        val expectedRevision: Long,
    ) : RosterOutput

    /** Send [question] to [members]. */
    data class AskPromises(
        val question: PromiseQuestion,
        val members: List<EntryMember>,
    ) : RosterOutput

    /** Promise the asker of [question]. */
    data class GivePromise(
        val question: PromiseQuestion,
    ) : RosterOutput

    /** Tell all entries and agents the history. */
    data class TellHistory(
        val history: RosterHistory,
    ) : RosterOutput

    /** Ask [member] to publish a roster with this entry. */
    data class RequestJoin(
        val member: EntryMember,
    ) : RosterOutput
}
