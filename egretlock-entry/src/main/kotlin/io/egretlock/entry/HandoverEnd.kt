package io.egretlock.entry

/** How an offer of all claims to an heir ended; [event] is its entry in the log. */
internal enum class HandoverEnd(
    val event: EntryEvent,
) {
    /** The heir claims in place of this entry. */
    TAKEN(EntryEvent.HANDED_OVER),

    /** The heir refused for good, since it is leaving too. */
    REFUSED(EntryEvent.HANDOVER_REFUSED),

    /** The heir did not answer to a part before the last one, so that it has not taken over. */
    UNANSWERED(EntryEvent.HANDOVER_REFUSED),

    /** The heir did not answer to the last part, and may have taken over. */
    IN_DOUBT(EntryEvent.HANDOVER_FAILED),
}
