package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.UpstreamAnnouncement

/**
 * Requests to the upstream to stop tasks. At most [LARGEST_IN_FLIGHT] are sent at a time, however many tasks are
 * cancelled at once. Accessed only by the coroutine of the [Agent].
 */
internal class StopQueue(
    private val client: UpstreamClient,
    private val metrics: AgentMetrics,
    private val onStopEnd: () -> Unit,
) {
    private val waiting = LinkedHashMap<TaskId, UpstreamAnnouncement>()
    private var inFlight = 0

    /** Number of requests that have not been sent. */
    val size: Int
        get() = waiting.size

    /** Requests [upstream] to stop [task] once a connection is free; does nothing if it has a single connection. */
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

    /** Handles the end of a request and sends the next ones. */
    fun onStopEnded() {
        inFlight--
        sendNext()
    }

    private fun sendNext() {
        val (task, upstream) = waiting.entries.firstOrNull() ?: return
        if (inFlight >= minOf(LARGEST_IN_FLIGHT, spareConnections(upstream))) return
        waiting.remove(task)
        inFlight++
        metrics.countStop()
        client.stop(upstream, task, onStopEnd)
        sendNext()
    }

    private fun spareConnections(upstream: UpstreamAnnouncement): Int = upstream.connections - upstream.usableSlots

    private companion object {
        const val LARGEST_IN_FLIGHT = 8
    }
}
