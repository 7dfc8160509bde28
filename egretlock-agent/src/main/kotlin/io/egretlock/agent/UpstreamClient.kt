package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.placement.UpstreamAnnouncement

/** Calls from an agent to its upstream. Callbacks may come on any thread, and exactly once for each call. */
internal interface UpstreamClient {
    /** Hands a task to the upstream, which has [remainingMillis] to answer. */
    fun run(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        specification: TaskSpecification,
        remainingMillis: Long,
        onEnd: (CallEnd) -> Unit,
    )

    /** Asks the upstream to stop a task. */
    fun stop(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        onEnd: () -> Unit,
    )

    /** Finds out whether the upstream accepts connections, without sending anything. */
    fun probe(
        upstream: UpstreamAnnouncement,
        onEnd: (Boolean) -> Unit,
    )

    /** Forgets idle connections, which may have gone silent. */
    fun dropIdleConnections()

    /** Ends all calls; each of them is told so. */
    fun cancelAll()

    /** Ends all calls and frees the client's threads. */
    fun close()
}
