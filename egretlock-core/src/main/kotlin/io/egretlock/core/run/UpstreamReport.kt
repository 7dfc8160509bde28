package io.egretlock.core.run

import io.egretlock.core.job.ServiceName
import kotlinx.serialization.Serializable

/**
 * What an agent tells entries about the upstream beside it.
 *
 * @property upstream identity of this life of the upstream.
 * @property total room of the upstream.
 * @property free room that no run holds.
 * @property speed learned speed; 1 is the speed that callers estimate run times for.
 * @property accepting whether new runs are taken; false while upstream or agent drains.
 * @property isPreferred whether the entry that gets this report has the first call on the room, see [EntryPreference].
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
