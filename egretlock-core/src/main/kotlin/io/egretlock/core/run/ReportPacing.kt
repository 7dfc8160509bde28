package io.egretlock.core.run

/**
 * Decides when an agent sends a report of its upstream to one entry.
 *
 * Without pacing, every start and end would be reported to every entry at once: the number of messages would grow with
 * the product of agents and entries, and reading them would use up the processor of small entries. Reports are
 * therefore sent at once only for changes by the entry's own orders and runs and for changes that decide whether the
 * entry may order at all. Room that other entries take and release is reported at an interval that grows with the
 * number of entries, so that an agent's message rate does not depend on it. An entry that orders room which is no
 * longer free loses one round trip to a refusal.
 *
 * Times are in milliseconds of a monotonic clock.
 */
class ReportPacing {
    private var lastSent: SentReport? = null
    private var sentAtMillis = 0L
    private var isReportRequested = false

    /** Records that an order of the entry was read or a run of the entry has ended, which makes the next report due. */
    fun requestReport() {
        isReportRequested = true
    }

    /**
     * Whether [report], which covers the entry's orders up to [seenSequence], is to be sent now. If so, it is recorded
     * as sent.
     *
     * @param entryCount number of connected entries, at least 1.
     */
    fun isDue(
        report: UpstreamReport?,
        seenSequence: Long,
        entryCount: Int,
        nowMillis: Long,
    ): Boolean {
        val current = SentReport(report, seenSequence)
        if (current == lastSent) return false
        val interval = (MILLIS_PER_ENTRY * entryCount).coerceAtMost(LONGEST_INTERVAL_MILLIS)
        val isDue = isReportRequested || isUrgent(report) || nowMillis - sentAtMillis >= interval
        if (isDue) {
            lastSent = current
            sentAtMillis = nowMillis
            isReportRequested = false
        }
        return isDue
    }

    /** Whether [report] differs from the last one in more than free room and speed. */
    private fun isUrgent(report: UpstreamReport?): Boolean {
        val previous = lastSent?.report
        if (report == null || previous == null) return true
        return report.copy(free = previous.free, speed = previous.speed) != previous
    }

    private data class SentReport(
        val report: UpstreamReport?,
        val seenSequence: Long,
    )

    private companion object {
        /**
         * Interval per connected entry, in milliseconds; an agent sends about 100 such reports a second over all
         * entries.
         */
        const val MILLIS_PER_ENTRY = 10L

        /** Longest interval, in milliseconds; short tasks can wait this long. */
        const val LONGEST_INTERVAL_MILLIS = 100L
    }
}
