package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId

/**
 * What an entry knows about one agent: its last report, and the room of orders that the report does not cover yet.
 */
class AgentRoom internal constructor(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    report: UpstreamReport,
) {
    private val unseenOrders = ArrayDeque<UnseenOrder>()
    private var lastSeenSequence = 0L

    /** Last report of the agent. */
    var report: UpstreamReport = report
        private set

    /** Free room of the last report, less the room of orders that the report does not cover. */
    var free: Room = report.free
        private set

    internal fun update(
        newReport: UpstreamReport,
        seenSequence: Long,
    ) {
        report = newReport
        lastSeenSequence = seenSequence
        while (unseenOrders.isNotEmpty() && unseenOrders.first().sequence <= seenSequence) unseenOrders.removeFirst()
        free = unseenOrders.fold(newReport.free) { room, order -> room - order.room }
    }

    /** Whether the last report covers the order with number [sequence], so that the agent has handled it. */
    internal fun hasSeen(sequence: Long): Boolean = sequence <= lastSeenSequence

    internal fun reserve(room: Room) {
        free -= room
    }

    internal fun recordSent(
        sequence: Long,
        room: Room,
    ) {
        unseenOrders.addLast(UnseenOrder(sequence, room))
    }

    private data class UnseenOrder(
        val sequence: Long,
        val room: Room,
    )
}
