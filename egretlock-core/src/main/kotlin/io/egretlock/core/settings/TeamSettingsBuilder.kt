package io.egretlock.core.settings

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName

/** Marks the builders of settings. It keeps an inner block from setting values of an outer one by mistake. */
@DslMarker
annotation class SettingsDsl

/**
 * Builds and checks the settings of [team]; throws [InvalidSettingsException] with all faults.
 *
 * ```
 * teamSettings("haddad") {
 *     service("beatday-booking") { concurrency = 88 }
 * }
 * ```
 */
fun teamSettings(
    team: String,
    build: TeamSettingsBuilder.() -> Unit,
): TeamSettings {
    val settings = TeamSettingsBuilder(TeamName(team)).apply(build).build()
    val faults = SettingsCheck.faultsOf(settings)
    if (faults.isNotEmpty()) throw InvalidSettingsException(faults)
    return settings
}

/** Builds the settings of one team. */
@SettingsDsl
class TeamSettingsBuilder internal constructor(
    team: TeamName,
) {
    private val defaults = TeamSettings(team)
    private val services = mutableListOf<ServiceSettings>()
    private val closedOperations = mutableListOf<OperationReference>()

    /** See [TeamSettings.weight]. */
    var weight: Double = defaults.weight

    /** Adds a service. */
    fun service(
        name: String,
        build: ServiceSettingsBuilder.() -> Unit = {},
    ) {
        services += ServiceSettingsBuilder(ServiceName(name)).apply(build).build()
    }

    /** Refuses new jobs with [operation] of [service]. */
    fun closedOperation(
        service: String,
        operation: String,
    ) {
        closedOperations += OperationReference(ServiceName(service), OperationName(operation))
    }

    internal fun build(): TeamSettings =
        defaults.copy(weight = weight, services = services.toList(), closedOperations = closedOperations.toList())
}

/** Builds the settings of one service; see [ServiceSettings] for the properties. */
@SettingsDsl
class ServiceSettingsBuilder internal constructor(
    name: ServiceName,
) {
    private val defaults = ServiceSettings(name)

    /** Largest number of tasks that run at once. */
    var concurrency: Int = defaults.concurrency

    /** Largest number of tasks that wait at one entry. */
    var longestQueue: Int = defaults.longestQueue

    /** Longest deadline of a job, in milliseconds. */
    var longestDeadlineMillis: Long = defaults.longestDeadlineMillis

    /** Largest number of tasks in one job. */
    var largestJob: Int = defaults.largestJob

    /** Share of the service's slots that long tasks may hold, from 0 to 1. */
    var longShare: Double = defaults.longShare

    /** Whether failures of the team's tasks can suspend the agent that ran them. */
    var guards: Boolean = defaults.guards

    internal fun build(): ServiceSettings =
        defaults.copy(
            concurrency = concurrency,
            longestQueue = longestQueue,
            longestDeadlineMillis = longestDeadlineMillis,
            largestJob = largestJob,
            longShare = longShare,
            guards = guards,
        )
}
