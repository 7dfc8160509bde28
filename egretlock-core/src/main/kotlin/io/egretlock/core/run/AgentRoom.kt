package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId

/**
 * What a home knows about one agent: its last report, and the orders sent since, which that report does not cover.
 */
class AgentRoom internal constructor(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    report: UpstreamReport,
) {
    private val unseen = ArrayDeque<UnseenOrder>()
    private var lastSequence = 0L

    /** Last report of the agent. */
    var report: UpstreamReport = report
        private set

    /** Room that is free as far as this home knows. */
    var free: Room = report.free
        private set

    internal fun update(
        newReport: UpstreamReport,
        seenSequence: Long,
    ) {
        report = newReport
        while (unseen.isNotEmpty() && unseen.first().sequence <= seenSequence) unseen.removeFirst()
        free = unseen.fold(newReport.free) { room, order -> room - order.room }
    }

    internal fun nextSequence(): Long = ++lastSequence

    internal fun reserve(room: Room) {
        free -= room
    }

    internal fun sent(
        sequence: Long,
        room: Room,
    ) {
        unseen.addLast(UnseenOrder(sequence, room))
    }

    private data class UnseenOrder(
        val sequence: Long,
        val room: Room,
    )
}
