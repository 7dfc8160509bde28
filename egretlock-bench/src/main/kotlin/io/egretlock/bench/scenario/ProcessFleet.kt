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
import io.egretlock.testing.upstream.UpstreamTraits
import java.lang.management.ManagementFactory

/** The workers of [Fleet] as real processes: one entry in each failure domain, upstreams in the bench. */
internal object ProcessFleet {
    /** Service that every run uses. */
    val SERVICE = Variant.SERVICE.value

    /** Longest time of arrivals in a run; with the warm-up, 30 s. */
    const val LONGEST_MILLIS = 26_000.0
    private const val CONNECTIONS = 64
    private const val WARM_UP_MILLIS = 4_000.0
    private const val WARM_UP_LOAD = 0.4

    /** Starts the processes, with [teams] that may run [quota] tasks at once each. */
    fun start(
        teams: List<TeamName> = listOf(Fleet.TEAM),
        quota: Int = ServiceSettings(Variant.SERVICE).concurrency,
    ): TestSystem =
        startSystem {
            Fleet.WORKERS.groupBy { it.failureDomain }.forEach { (domain, workers) ->
                failureDomain(domain.value) {
                    entry("entry-${domain.value}")
                    workers.forEach { agent(it.name, UpstreamTraits(SERVICE, it.slots, CONNECTIONS, it.speed)) }
                }
            }
            teams.forEach { team(it.value, SERVICE, quota) }
        }

    /** Time of arrivals in a run with [options], in milliseconds. */
    fun durationMillis(options: ScenarioOptions): Double = options.durationMillis.coerceAtMost(LONGEST_MILLIS)

    /** Lets [team] submit for a while, so that processes are warm and run times are known. */
    fun warmUp(
        system: TestSystem,
        seed: Long,
        team: TeamName = Fleet.TEAM,
    ) {
        val arrivals = Arrivals(seed).steady(JobMix.BOOKING, team, Fleet.CAPACITY, WARM_UP_MILLIS, WARM_UP_LOAD)
        OpenLoop(system, SERVICE, seed).run(arrivals)
    }

    /** The agent beside the worker's upstream. */
    fun agent(
        system: TestSystem,
        worker: String,
    ): AgentNode = system.agents.first { it.name == worker }

    /** What the run had to share: a busy machine makes a run a trial. */
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
