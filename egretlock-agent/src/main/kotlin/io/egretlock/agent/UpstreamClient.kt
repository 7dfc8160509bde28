package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.placement.UpstreamAnnouncement

/** Calls from an agent to its upstream. The callback of each call is invoked exactly once, on any thread. */
internal interface UpstreamClient {
    /** Runs a task on the upstream, which has [remainingMillis] to answer. */
    fun run(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        specification: TaskSpecification,
        remainingMillis: Long,
        onEnd: (CallEnd) -> Unit,
    )

    /** Requests the upstream to stop a task. */
    fun stop(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        onEnd: () -> Unit,
    )

    /** Checks whether the upstream accepts connections, without sending anything. */
    fun probe(
        upstream: UpstreamAnnouncement,
        onEnd: (Boolean) -> Unit,
    )

    /** Closes idle connections, which may be dead. */
    fun dropIdleConnections()

    /** Cancels all calls; the callback of each is invoked. */
    fun cancelAll()

    /** Cancels all calls and shuts down the client's threads. */
    fun close()
}
