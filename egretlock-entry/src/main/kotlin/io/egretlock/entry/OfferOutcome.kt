package io.egretlock.entry

/** Outcome of an offer of all claims to an heir; [event] is logged for it. */
internal enum class OfferOutcome(
    val event: EntryEvent,
) {
    /** The heir claims jobs in place of this entry. */
    ACCEPTED(EntryEvent.HANDED_OVER),

    /** The heir refused finally, as it is leaving too. */
    REFUSED(EntryEvent.HANDOVER_REFUSED),

    /** The heir did not answer a part before the last one, so it has not taken over. */
    UNANSWERED(EntryEvent.HANDOVER_REFUSED),

    /** The heir did not answer the last part and may have taken over. */
    IN_DOUBT(EntryEvent.HANDOVER_FAILED),
}
