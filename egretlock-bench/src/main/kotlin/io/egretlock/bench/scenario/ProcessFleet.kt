package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.process.OpenLoop
import io.egretlock.bench.report.Figure
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.testing.system.AgentNode
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import io.egretlock.testing.upstream.UpstreamStandInOptions
import java.lang.management.ManagementFactory

/** The workers of [Fleet] as real processes, with one entry per failure domain. The bench itself runs the upstreams. */
internal object ProcessFleet {
    /** Service of all runs. */
    val SERVICE = Variant.SERVICE.value

    /** Longest period in which jobs arrive; 30 s together with the warm-up. */
    const val LONGEST_MILLIS = 26_000.0
    private const val CONNECTIONS = 64
    private const val WARM_UP_MILLIS = 4_000.0
    private const val WARM_UP_LOAD = 0.4

    /** Starts the processes, with [teams] that may each run [quota] tasks concurrently. */
    fun start(
        teams: List<TeamName> = listOf(Fleet.TEAM),
        quota: Int = ServiceSettings(Variant.SERVICE).concurrency,
    ): TestSystem =
        startSystem {
            Fleet.WORKERS.groupBy { it.failureDomain }.forEach { (domain, workers) ->
                failureDomain(domain.value) {
                    entry("entry-${domain.value}")
                    workers.forEach { agent(it.name, UpstreamStandInOptions(SERVICE, it.slots, CONNECTIONS, it.speed)) }
                }
            }
            teams.forEach { team(it.value, SERVICE, quota) }
        }

    /** Period in which jobs arrive in a run with [options], in milliseconds. */
    fun durationMillis(options: ScenarioOptions): Double = options.durationMillis.coerceAtMost(LONGEST_MILLIS)

    /** Submits jobs of [team] for [WARM_UP_MILLIS], so that the processes are warm and have learned the run times. */
    fun warmUp(
        system: TestSystem,
        seed: Long,
        team: TeamName = Fleet.TEAM,
    ) {
        val arrivals = Arrivals(seed).steady(JobMix.BOOKING, team, Fleet.CAPACITY, WARM_UP_MILLIS, WARM_UP_LOAD)
        OpenLoop(system, SERVICE, seed).run(arrivals)
    }

    /** The agent of [worker]. */
    fun agent(
        system: TestSystem,
        worker: String,
    ): AgentNode = system.agents.first { it.name == worker }

    /** Size and load of the system and the machine; a run on a busy machine counts only as a trial. */
    fun scaleFigures(): List<Figure> {
        val machine = ManagementFactory.getOperatingSystemMXBean()
        return listOf(
            Figure("scale", "processes", "workers", Fleet.WORKERS.size.toDouble()),
            Figure(
                "scale",
                "processes",
                "slots of a worker",
                Fleet.WORKERS
                    .first()
                    .slots
                    .toDouble(),
            ),
            Figure("scale", "processes", "processors of the machine", machine.availableProcessors.toDouble()),
            Figure("scale", "processes", "load average of the machine", machine.systemLoadAverage),
        )
    }
}
