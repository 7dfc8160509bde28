package io.egretlock.core.settings

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import kotlinx.serialization.Serializable

/**
 * The settings subtree of one team.
 *
 * @property weight share of contended slots relative to other teams; larger than 0.
 * @property services the services that the team may submit to, with its limits for each.
 * @property closedOperations operations whose new jobs are refused as not run; accepted ones finish.
 */
@Serializable
data class TeamSettings(
    val team: TeamName,
    val weight: Double = 1.0,
    val services: List<ServiceSettings> = emptyList(),
    val closedOperations: List<OperationReference> = emptyList(),
) {
    /** Limits of [name] for this team; null if the team has no such service. */
    fun service(name: ServiceName): ServiceSettings? = services.firstOrNull { it.name == name }

    /** Whether new jobs with [operation] of [service] are refused. */
    fun isClosed(
        service: ServiceName,
        operation: OperationName,
    ): Boolean = closedOperations.any { it.service == service && it.operation == operation }
}

/** An operation of one of the team's services. */
@Serializable
data class OperationReference(
    val service: ServiceName,
    val operation: OperationName,
)

/**
 * Limits and policy of one team for one service.
 *
 * @property concurrency tasks of the team that may run at once.
 * @property longestQueue tasks of the team that may wait at one entry.
 * @property longestDeadlineMillis longest deadline that a job may ask for, in milliseconds.
 * @property largestJob tasks that one job may have.
 * @property longShare share of the service's slots, from 0 to 1, that long tasks may hold; the mean over its teams
 * by weight applies.
 * @property guards whether an agent that fails all it starts loses its credits.
 */
@Serializable
data class ServiceSettings(
    val name: ServiceName,
    val concurrency: Int = 1_000,
    val longestQueue: Int = 10_000,
    val longestDeadlineMillis: Long = 600_000,
    val largestJob: Int = 260,
    val longShare: Double = 0.5,
    val guards: Boolean = true,
)

/**
 * Settings of a team as stored.
 *
 * @property revision modification revision of the team's key in the platform's store; never goes down.
 */
@Serializable
data class StoredTeamSettings(
    val revision: Long,
    val settings: TeamSettings,
)
