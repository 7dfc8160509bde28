package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.placement.UpstreamAnnouncement

/** Records calls to an upstream; the test ends them with the recorded callbacks. */
internal class FakeUpstreamClient : UpstreamClient {
    val calls = LinkedHashMap<TaskId, (CallEnd) -> Unit>()
    val stops = mutableListOf<TaskId>()
    val probes = ArrayDeque<(Boolean) -> Unit>()

    override fun run(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        specification: TaskSpecification,
        remainingMillis: Long,
        onEnd: (CallEnd) -> Unit,
    ) {
        calls[task] = onEnd
    }

    override fun stop(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        onEnd: () -> Unit,
    ) {
        stops += task
    }

    override fun probe(
        upstream: UpstreamAnnouncement,
        onEnd: (Boolean) -> Unit,
    ) = probes.addLast(onEnd)

    override fun dropIdleConnections() = Unit

    override fun cancelAll() = Unit

    override fun close() = Unit
}
