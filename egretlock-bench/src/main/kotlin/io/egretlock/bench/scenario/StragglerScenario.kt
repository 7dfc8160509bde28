package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.bench.simulation.WorkerChange

/** One of eleven workers runs at a tenth of its speed, compared with a run without that worker. */
internal class StragglerScenario : Scenario {
    override val name = "stragglers"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val others = Fleet.WORKERS.filter { it.name != WORKER }
        val slowSpeed = Fleet.WORKERS.first { it.name == WORKER }.speed / SLOWDOWN
        val change = WorkerChange(SLOW_FROM_MILLIS, WORKER, slowSpeed, fails = false)
        val without = Sample("without the worker", Variant.CREDITS)
        val with = VARIANTS.map { variant -> Sample("with the slow worker", variant) }
        val capacity = Fleet.capacityOf(others)
        for (seed in options.seeds) {
            val arrivals = Arrivals(seed).steady(JobMix.BOOKING, Fleet.TEAM, capacity, options.durationMillis, LOAD)
            without.add(Trial(arrivals, seed, workers = others).run(without.variant))
            with.forEach { it.add(Trial(arrivals, seed, changes = listOf(change)).run(it.variant)) }
        }
        val credits = with.first { it.variant === Variant.CREDITS }
        val ratio = credits.p99 / without.p99
        val bounds = listOf(Bound.atMost(credits.load, "p99 against a run without", ratio, limit = 1.5))
        val figures = (listOf(without) + with).flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, options.durationMillis, figures, bounds)
    }

    private class Sample(
        val load: String,
        val variant: Variant,
    ) {
        private val millis = Distribution()

        val p99: Double
            get() = millis.percentile(P99)

        fun add(run: List<SimulatedJob>) {
            val measured = run.filter { it.arrivedAtMillis > SLOW_FROM_MILLIS }
            val ended = measured.flatMap { it.tasks }.filter { it.hasEnded }
            ended.forEach { task -> millis.add(task.responseMillis) }
        }

        fun figures(): List<Figure> =
            listOf(
                Figure(load, variant.name, "median in ms", millis.median),
                Figure(load, variant.name, "p99 in ms", p99),
            )
    }

    private companion object {
        const val WORKER = "worker-3"
        const val LOAD = 0.8
        const val SLOWDOWN = 10.0
        const val SLOW_FROM_MILLIS = 10_000.0
        const val P99 = 99.0
        val VARIANTS = listOf(Variant.ROUND_ROBIN, Variant.POWER_OF_TWO, Variant.CREDITS)
    }
}
