package io.egretlock.core.placement

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import kotlinx.serialization.Serializable

/**
 * What an upstream instance announces about itself.
 *
 * @property slots number of tasks that it runs at the same time.
 * @property connections number of HTTP connections that it accepts at the same time.
 * @property resources largest resources that a single task may need; each is null if the upstream does not announce it.
 */
@Serializable
data class UpstreamAnnouncement(
    val service: ServiceName,
    val slots: Int,
    val connections: Int,
    val address: String,
    val resources: UpstreamResources = UpstreamResources(),
)

/** Largest resources that a single task may need on an upstream. */
@Serializable
data class UpstreamResources(
    val processors: Double? = null,
    val memoryBytes: Long? = null,
    val accelerators: Int? = null,
)

/** Information that an entry has about an agent, which serves one upstream instance in one failure domain. */
data class AgentView(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    val upstream: UpstreamAnnouncement,
)
