package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.process.ProcessRun
import io.egretlock.bench.process.ResourceUse
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.testing.system.TestSystem

/**
 * The workers and loads of the simulated scenarios on real processes: three entries and eleven agents. The bench itself
 * runs the upstreams.
 */
internal class ProcessScenario : Scenario {
    override val name = "processes"

    override fun run(options: ScenarioOptions): ScenarioResult =
        ProcessFleet.start().use { system ->
            val idle = idleFigures(system, "idle after the start")
            run(system, "warm-up", options, JobMix.BOOKING, WARM_UP_LOAD)
            val light = run(system, "haddad at 0.2", options, JobMix.BOOKING, LIGHT_LOAD)
            val booking = run(system, "haddad at 0.8", options, JobMix.BOOKING, LOAD)
            val checks = run(system, "reti-etnee at 0.8 with reviews", options, JobMix.CHECKS_AND_REVIEWS, LOAD)
            val crest = crest(system, options)
            val loaded = listOf(light, booking, checks, crest).flatMap { it.figures() }
            val figures = idle + loaded + idleFigures(system, "idle after the load")
            val bounds = bounds(booking, checks, crest, options)
            ScenarioResult(name, options.seed, 1, options.durationMillis, figures, bounds)
        }

    private fun bounds(
        booking: ProcessRun,
        checks: ProcessRun,
        crest: ProcessRun,
        options: ScenarioOptions,
    ): List<Bound> {
        val capacity = Fleet.CAPACITY * (options.durationMillis - CREST_RISE_MILLIS)
        val goodputShare = crest.answeredWork(CREST_RISE_MILLIS, options.durationMillis) / capacity
        return listOf(
            Bound.atMost("haddad at 0.8", "median stretch of a job", booking.medianStretch, limit = 1.1),
            Bound.atMost("reti-etnee at 0.8", "median stretch of a job", checks.medianStretch, limit = 1.1),
            Bound.atLeast("crest", "work answered in time, of capacity", goodputShare, limit = 0.95),
        )
    }

    private fun run(
        system: TestSystem,
        load: String,
        options: ScenarioOptions,
        mix: JobMix,
        level: Double,
    ): ProcessRun {
        val arrivals =
            Arrivals(options.seed).steady(mix, Fleet.TEAM, Fleet.CAPACITY, options.durationMillis, level)
        return ProcessRun(load, system, ProcessFleet.SERVICE, options.seed + load.hashCode()).run(arrivals)
    }

    private fun crest(
        system: TestSystem,
        options: ScenarioOptions,
    ): ProcessRun {
        val arrivals =
            Arrivals(
                options.seed,
            ).draw(JobMix.BOOKING, Fleet.TEAM, Fleet.CAPACITY, options.durationMillis, CREST_LOAD) {
                (LOAD + (CREST_LOAD - LOAD) * it / CREST_RISE_MILLIS).coerceAtMost(CREST_LOAD)
            }
        return ProcessRun("crest", system, ProcessFleet.SERVICE, options.seed - 1).run(arrivals)
    }

    private fun idleFigures(
        system: TestSystem,
        load: String,
    ): List<Figure> {
        val processes =
            listOf("entry" to system.entries.map { it.process }, "agent" to system.agents.map { it.process })
        val before = processes.map { (_, members) -> members.map { ResourceUse.of(it.pid) } }
        Thread.sleep(IDLE_MILLIS)
        return processes.flatMapIndexed { index, (role, members) ->
            val now = members.map { ResourceUse.of(it.pid) }
            val processor = now.sumOf { it.processorMillis } - before[index].sumOf { it.processorMillis }
            val bytes =
                now.sumOf { it.readBytes + it.writtenBytes } - before[index].sumOf { it.readBytes + it.writtenBytes }
            val perSecond = MILLIS_PER_SECOND / IDLE_MILLIS / members.size
            listOf(
                Figure(load, role, "processor ms per second", processor * perSecond),
                Figure(load, role, "bytes read and written per second", bytes * perSecond),
                Figure(load, role, "resident MB", now.sumOf { it.residentBytes } / BYTES_PER_MEGABYTE / members.size),
            )
        }
    }

    private companion object {
        const val WARM_UP_LOAD = 0.4
        const val LIGHT_LOAD = 0.2
        const val LOAD = 0.8
        const val CREST_LOAD = 3.0
        const val CREST_RISE_MILLIS = 2_000.0
        const val IDLE_MILLIS = 10_000L
        const val MILLIS_PER_SECOND = 1_000.0
        const val BYTES_PER_MEGABYTE = 1e6
    }
}
