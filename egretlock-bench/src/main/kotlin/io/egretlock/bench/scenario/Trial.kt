package io.egretlock.bench.scenario

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.simulation.ClientHabits
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.bench.simulation.Simulation
import io.egretlock.bench.simulation.WorkerChange
import io.egretlock.bench.simulation.WorkerTraits
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings

/** Everything that the variants of a comparison have in common. */
internal data class Trial(
    val arrivals: List<WorkloadJob>,
    val seed: Long,
    val workers: List<WorkerTraits> = Fleet.WORKERS,
    val changes: List<WorkerChange> = emptyList(),
    val habits: ClientHabits = ClientHabits(),
    val settings: List<StoredTeamSettings> = listOf(Fleet.settings(Fleet.TEAM)),
) {
    /** Runs one variant in virtual time. */
    fun run(variant: Variant): List<SimulatedJob> {
        val oneWayMillis = if (variant === Variant.IDEAL) 0.0 else Fleet.ONE_WAY_MILLIS
        val simulation =
            Simulation(workers, changes, oneWayMillis, habits) { workplace ->
                variant.strategy(workplace, settings, seed)
            }
        return simulation.run(arrivals)
    }
}

/** The workers of today's users: eleven in three failure domains, with 8 slots each, of widely differing speed. */
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

    /** Work that all slots do per millisecond, in milliseconds at speed 1. */
    val CAPACITY = capacityOf(WORKERS)

    /** Work that the slots of [workers] do per millisecond. */
    fun capacityOf(workers: List<WorkerTraits>): Double = workers.sumOf { it.slots * it.speed }

    /** Settings of [team] for the bench's service. */
    fun settings(
        team: TeamName,
        limits: ServiceSettings = ServiceSettings(Variant.SERVICE),
        weight: Double = 1.0,
    ) = StoredTeamSettings(1, TeamSettings(team, weight, listOf(limits)))
}
