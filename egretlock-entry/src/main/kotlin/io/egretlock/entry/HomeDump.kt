package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.settings.StoredTeamSettings
import kotlinx.serialization.Serializable

/** The state of a [HomeTask] for operators. */
@Serializable
data class HomeDump(
    val liveJobs: List<JobId>,
    val rememberedJobs: Int,
    val agents: List<AgentDump>,
    val settings: List<StoredTeamSettings>,
)

/** The state of a connected agent for operators. */
@Serializable
data class AgentDump(
    val agent: ProcessId,
    val service: String?,
    val slots: Int,
)
