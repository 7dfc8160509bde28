package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.settings.StoredTeamSettings
import kotlinx.serialization.Serializable

/** State of a [HomeTask] as operators see it. */
@Serializable
data class HomeDump(
    val liveJobs: List<JobId>,
    val rememberedJobs: Int,
    val agents: List<AgentDump>,
    val settings: List<StoredTeamSettings>,
)

/** A connected agent as operators see it. */
@Serializable
data class AgentDump(
    val agent: ProcessId,
    val service: String?,
    val slots: Int,
)
