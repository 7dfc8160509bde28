package io.egretlock.core.run

/**
 * Decides when an agent tells one entry of its upstream's room.
 *
 * Answers a fleet in which every start and end would be told to every entry: the messages would grow with the product of
 * agents and entries, and reading them would take the processor of small entries. An entry is told at once of what its
 * own orders and runs change and of what decides whether it may order at all; of the room that other entries take and
 * release it is told at an interval that grows with their number, so that an agent sends the same however many there are.
 * Room that an entry does not know to be taken costs it a refusal by the agent, which is one round trip.
 *
 * Times are in milliseconds of a clock that never jumps.
 */
class ReportPacing {
    private var lastSent: SentReport? = null
    private var sentAtMillis = 0L
    private var isConcerned = false

    /** An order of the entry was read, or a run of the entry has ended. */
    fun concerned() {
        isConcerned = true
    }

    /**
     * Whether [report], which covers the entry's orders up to [seenSequence], is to be sent now. If so it counts as sent.
     *
     * @param entryCount entries that are connected, at least 1.
     */
    fun isDue(
        report: UpstreamReport?,
        seenSequence: Long,
        entryCount: Int,
        nowMillis: Long,
    ): Boolean {
        val next = SentReport(report, seenSequence)
        if (next == lastSent) return false
        val interval = (MILLIS_PER_ENTRY * entryCount).coerceAtMost(LONGEST_INTERVAL_MILLIS)
        val isDue = isConcerned || isUrgent(report) || nowMillis - sentAtMillis >= interval
        if (isDue) {
            lastSent = next
            sentAtMillis = nowMillis
            isConcerned = false
        }
        return isDue
    }

    /** Whether more than free room and speed differ from the last report. */
    private fun isUrgent(report: UpstreamReport?): Boolean {
        val before = lastSent?.report
        if (report == null || before == null) return true
        return report.copy(free = before.free, speed = before.speed) != before
    }

    private data class SentReport(
        val report: UpstreamReport?,
        val seenSequence: Long,
    )

    private companion object {
        /** Interval for each connected entry, in milliseconds: an agent sends a hundred unasked reports a second. */
        const val MILLIS_PER_ENTRY = 10L

        /** Longest interval, in milliseconds: the time that short tasks can wait. */
        const val LONGEST_INTERVAL_MILLIS = 100L
    }
}
