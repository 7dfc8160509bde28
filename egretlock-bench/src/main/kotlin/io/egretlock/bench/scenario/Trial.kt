package io.egretlock.bench.scenario

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.bench.simulation.SimulatedRetryPolicy
import io.egretlock.bench.simulation.Simulation
import io.egretlock.bench.simulation.WorkerChange
import io.egretlock.bench.simulation.WorkerTraits
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings

/** Inputs that are the same for all variants of a comparison. */
internal data class Trial(
    val arrivals: List<WorkloadJob>,
    val seed: Long,
    val workers: List<WorkerTraits> = Fleet.WORKERS,
    val changes: List<WorkerChange> = emptyList(),
    val retryPolicy: SimulatedRetryPolicy = SimulatedRetryPolicy(),
    val settings: List<StoredTeamSettings> = listOf(Fleet.settings(Fleet.TEAM)),
) {
    /** Runs one variant in virtual time. */
    fun run(variant: Variant): List<SimulatedJob> {
        val oneWayMillis = if (variant === Variant.IDEAL) 0.0 else Fleet.ONE_WAY_MILLIS
        val simulation =
            Simulation(workers, changes, oneWayMillis, retryPolicy) { context ->
                variant.strategy(context, settings, seed)
            }
        return simulation.run(arrivals)
    }
}

/** The workers of the current users: eleven in three failure domains, with 8 slots each and speeds from 0.5 to 2. */
internal object Fleet {
    const val ONE_WAY_MILLIS = 0.5
    private const val SLOTS = 8
    private val SPEEDS = listOf(2.0, 1.7, 1.5, 1.3, 1.1, 1.0, 0.9, 0.8, 0.7, 0.6, 0.5)
    private val DOMAINS = listOf("jabal-amman", "weibdeh", "marka")

    /** Team that submits the jobs of a run. */
    val TEAM = TeamName("north")

    val WORKERS =
        SPEEDS.mapIndexed { index, speed ->
            WorkerTraits("worker-$index", FailureDomain(DOMAINS[index % DOMAINS.size]), SLOTS, speed)
        }

    /** Work of all slots per millisecond, in milliseconds of run time at speed 1. */
    val CAPACITY = capacityOf(WORKERS)

    /** Work of the slots of [workers] per millisecond, in milliseconds of run time at speed 1. */
    fun capacityOf(workers: List<WorkerTraits>): Double = workers.sumOf { it.slots * it.speed }

    /** Settings of [team] for the service of the bench. */
    fun settings(
        team: TeamName,
        limits: ServiceSettings = ServiceSettings(Variant.SERVICE),
        weight: Double = 1.0,
    ) = StoredTeamSettings(1, TeamSettings(team, weight, listOf(limits)))
}
