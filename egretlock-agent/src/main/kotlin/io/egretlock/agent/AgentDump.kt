package io.egretlock.agent

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import kotlinx.serialization.Serializable

/** State of an agent, as served by `/dump`. */
@Serializable
data class AgentDump(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    val draining: Boolean,
    val upstream: UpstreamAnnouncement?,
    val upstreamReachable: Boolean,
    val slots: Int,
    val runningTasks: List<String>,
    val unacknowledgedTasks: List<String>,
    val rememberedTasks: Int,
    val entries: List<EntryDump>,
    val dialledAddresses: List<NodeAddress>,
    val rosters: List<Roster>,
    val settings: List<StoredTeamSettings>,
)

/** A connected entry and the number of credits that it holds. */
@Serializable
data class EntryDump(
    val entry: ProcessId,
    val address: NodeAddress,
    val credits: Int,
)
