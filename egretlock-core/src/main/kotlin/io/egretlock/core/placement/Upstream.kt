package io.egretlock.core.placement

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import kotlinx.serialization.Serializable

/**
 * What an upstream instance announces about itself.
 *
 * @property slots tasks that it runs at once.
 * @property connections HTTP connections that it accepts at once.
 * @property resources what the largest single task may need; null where the upstream does not say.
 */
@Serializable
data class UpstreamAnnouncement(
    val service: ServiceName,
    val slots: Int,
    val connections: Int,
    val address: String,
    val resources: UpstreamResources = UpstreamResources(),
)

/** Largest needs that a single task may have on an upstream. */
@Serializable
data class UpstreamResources(
    val processors: Double? = null,
    val memoryBytes: Long? = null,
    val accelerators: Int? = null,
)

/** An agent as an entry sees it: one upstream instance in one failure domain. */
data class AgentView(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    val upstream: UpstreamAnnouncement,
)
