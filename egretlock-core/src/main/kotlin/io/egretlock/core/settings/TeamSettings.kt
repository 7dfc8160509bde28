package io.egretlock.core.settings

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import kotlinx.serialization.Serializable

/**
 * Settings of one team.
 *
 * @property weight share of contended slots relative to the weights of other teams; larger than 0.
 * @property services services to which the team may submit jobs, with its limits for each.
 * @property closedOperations operations whose new jobs are refused as not run; jobs accepted before still finish.
 */
@Serializable
data class TeamSettings(
    val team: TeamName,
    val weight: Double = 1.0,
    val services: List<ServiceSettings> = emptyList(),
    val closedOperations: List<OperationReference> = emptyList(),
) {
    /** This team's limits for the service [name]; null if the team has no such service. */
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
 * @property concurrency largest number of the team's tasks that run at once.
 * @property longestQueue largest number of the team's tasks that wait at one entry.
 * @property longestDeadlineMillis longest deadline that a job may request, in milliseconds.
 * @property largestJob largest number of tasks in one job.
 * @property longShare share of the service's slots, from 0 to 1, that long tasks may hold; the mean over the service's
 * teams, weighted by [TeamSettings.weight], applies.
 * @property guards whether failures of the team's tasks can suspend the agent that ran them.
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
 * Settings of a team in the platform's store.
 *
 * @property revision modification revision of the team's key in the store; never goes down.
 */
@Serializable
data class StoredTeamSettings(
    val revision: Long,
    val settings: TeamSettings,
)
