package io.egretlock.core.run

import io.egretlock.core.job.ServiceName
import kotlinx.serialization.Serializable

/**
 * Report of an agent to an entry about the agent's upstream.
 *
 * @property upstream identity of the current incarnation of the upstream.
 * @property total room of the upstream.
 * @property free room that no run holds.
 * @property speed estimated speed; 1 is the speed that callers estimate run times for.
 * @property accepting whether new runs are accepted; false while the upstream or the agent is draining.
 * @property isPreferred whether the agent prefers the entry that receives this report, see [EntryPreference].
 */
@Serializable
data class UpstreamReport(
    val upstream: String,
    val service: ServiceName,
    val total: Room,
    val free: Room,
    val speed: Double,
    val accepting: Boolean,
    val isPreferred: Boolean = false,
)
