package io.egretlock.core.run

/**
 * Decides when an agent sends a report of its upstream to one entry.
 *
 * Without pacing, every start and end would be reported to every entry at once: the number of messages would grow with
 * the product of agents and entries, and reading them would use up the processor of small entries. Reports are
 * therefore sent at once only for changes by the entry's own orders and runs and for changes that decide whether the
 * entry may order at all. Room that other entries take and release is reported at an interval that grows with the
 * number of entries. It is longer for an entry that the agent does not prefer (see [EntryPreference]), which orders from
 * this agent only if its own ones are full. An entry that orders room which is no longer free loses one round trip to a
 * refusal.
 *
 * Times are in milliseconds of a monotonic clock.
 */
class ReportPacing {
    /** What to do with the present report. */
    enum class Next { SEND, WAIT, UNCHANGED }

    private var lastSent: SentReport? = null
    private var sentAtMillis = 0L
    private var isReportRequested = false

    /** Records that an order of the entry was read or a run of the entry has ended, which makes the next report due. */
    fun requestReport() {
        isReportRequested = true
    }

    /**
     * Decides whether [report], which covers the entry's orders up to [seenSequence], is sent now, has to wait for a
     * later call, or equals the last one that was sent. If it is to be sent, it is recorded as sent.
     *
     * @param entryCount number of connected entries, at least 1.
     */
    fun next(
        report: UpstreamReport?,
        seenSequence: Long,
        entryCount: Int,
        nowMillis: Long,
    ): Next {
        val current = SentReport(report, seenSequence)
        if (current == lastSent) return Next.UNCHANGED
        val interval = intervalMillis(report?.isPreferred ?: false, entryCount)
        if (!isReportRequested && !isUrgent(report) && nowMillis - sentAtMillis < interval) return Next.WAIT
        lastSent = current
        sentAtMillis = nowMillis
        isReportRequested = false
        return Next.SEND
    }

    private fun intervalMillis(
        isPreferred: Boolean,
        entryCount: Int,
    ): Long =
        if (isPreferred) {
            (MILLIS_PER_ENTRY * entryCount).coerceAtMost(LONGEST_INTERVAL_MILLIS)
        } else {
            (OTHERS_MILLIS_PER_SQUARE * entryCount * entryCount).coerceAtMost(OTHERS_LONGEST_INTERVAL_MILLIS)
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
        /** Interval per connected entry, in milliseconds, for the entry that the agent prefers. */
        const val MILLIS_PER_ENTRY = 10L

        /** Longest interval, in milliseconds, for that entry; short tasks can wait this long. */
        const val LONGEST_INTERVAL_MILLIS = 100L

        /**
         * Factor of the interval, in milliseconds, for other entries. The agents grow in number with the entries, so with
         * the square of that number as the other factor an entry's incoming reports do not grow with the fleet.
         */
        const val OTHERS_MILLIS_PER_SQUARE = 3L

        /** Longest interval, in milliseconds, for other entries. */
        const val OTHERS_LONGEST_INTERVAL_MILLIS = 1_000L
    }
}
