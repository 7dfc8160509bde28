package io.egretlock.agent

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.UpstreamAnnouncement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StopQueueTest {
    private val client = FakeUpstreamClient()
    private val queue = StopQueue(client, AgentMetrics()) {}

    @Test
    fun `given many cancellations at once, when they are queued, then a few are sent at a time and all in the end`() {
        tasks(100).forEach { queue.add(it, upstream(connections = 64)) }
        assertEquals(tasks(8), client.stops)
        repeat(100) { queue.onStopEnded() }
        assertEquals(tasks(100), client.stops)
    }

    @Test
    fun `given one connection more than slots, when tasks are cancelled, then one request is sent at a time`() {
        tasks(3).forEach { queue.add(it, upstream(connections = 9)) }
        assertEquals(tasks(1), client.stops)
    }

    @Test
    fun `given a queued request, when its task ends, then it is not sent`() {
        tasks(2).forEach { queue.add(it, upstream(connections = 9)) }
        queue.remove(tasks(2).last())
        queue.onStopEnded()
        assertEquals(tasks(1), client.stops)
    }

    @Test
    fun `given a single connection, when a task is cancelled, then nothing is sent or kept`() {
        queue.add(tasks(1).first(), upstream(connections = 1))
        assertEquals(0, client.stops.size + queue.size)
    }

    private fun tasks(count: Int) = List(count) { TaskId(JobId("job"), it) }

    private fun upstream(connections: Int) =
        UpstreamAnnouncement(ServiceName("net-check"), 8, connections, "http://127.0.0.1:1")
}
