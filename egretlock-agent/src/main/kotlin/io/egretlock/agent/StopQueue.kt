package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.UpstreamAnnouncement

/**
 * Requests to the upstream to stop tasks, a few at a time however many are cancelled at once. Confined to the [Agent].
 */
internal class StopQueue(
    private val client: UpstreamClient,
    private val metrics: AgentMetrics,
    private val onStopEnd: () -> Unit,
) {
    private val waiting = LinkedHashMap<TaskId, UpstreamAnnouncement>()
    private var inFlight = 0

    /** Requests that have not been sent. */
    val size: Int
        get() = waiting.size

    /** Asks [upstream] to stop [task] as soon as a connection may be used for it; never if it has a single one. */
    fun add(
        task: TaskId,
        upstream: UpstreamAnnouncement,
    ) {
        if (spareConnections(upstream) > 0) waiting[task] = upstream
        sendNext()
    }

    /** Drops the request for a task that has ended. */
    fun remove(task: TaskId) {
        waiting.remove(task)
    }

    /** Settles a request that was sent. */
    fun ended() {
        inFlight--
        sendNext()
    }

    private fun sendNext() {
        val (task, upstream) = waiting.entries.firstOrNull() ?: return
        if (inFlight >= minOf(LARGEST_IN_FLIGHT, spareConnections(upstream))) return
        waiting.remove(task)
        inFlight++
        metrics.stopped()
        client.stop(upstream, task, onStopEnd)
        sendNext()
    }

    private fun spareConnections(upstream: UpstreamAnnouncement): Int = upstream.connections - upstream.usableSlots

    private companion object {
        const val LARGEST_IN_FLIGHT = 8
    }
}
