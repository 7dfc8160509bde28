package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.JobEnd
import io.egretlock.bench.simulation.SimulatedJob

/** Steady load of 0.8 of the capacity: stretch compared with the ideal central queue, and wasted messages. */
internal class SteadyScenario : Scenario {
    override val name = "steady"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val samples = MIXES.flatMap { mix -> VARIANTS.map { variant -> Sample(mix, variant) } }
        for (seed in options.seeds) {
            for (mix in MIXES) {
                val arrivals = Arrivals(seed).steady(mix, Fleet.TEAM, Fleet.CAPACITY, options.durationMillis, LOAD)
                val trial = Trial(arrivals, seed)
                samples.filter { it.mix === mix }.forEach { sample -> sample.add(trial.run(sample.variant)) }
            }
        }
        val bounds = MIXES.flatMap { mix -> bounds(samples.filter { it.mix === mix }) }
        val figures = samples.flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, options.durationMillis, figures, bounds)
    }

    private fun bounds(samples: List<Sample>): List<Bound> {
        val ideal = samples.first { it.variant === Variant.IDEAL }
        val credits = samples.first { it.variant === Variant.CREDITS }
        val load = credits.mix.name
        val meanRatio = credits.stretch.mean / ideal.stretch.mean
        return listOf(
            Bound.atMost(load, "median stretch", credits.stretch.median, limit = 1.1),
            Bound.atMost(load, "mean stretch against the ideal", meanRatio, limit = 1.25),
            Bound.atMost(load, "wasted messages per start", credits.wastedPerStart, limit = 0.02),
        )
    }

    private class Sample(
        val mix: JobMix,
        val variant: Variant,
    ) {
        val stretch = Distribution()
        private var starts = 0L
        private var wastedMessages = 0L
        private var late = 0L
        private var jobs = 0L

        val wastedPerStart: Double
            get() = wastedMessages.toDouble() / starts

        fun add(run: List<SimulatedJob>) {
            jobs += run.size
            late += run.count { it.end == JobEnd.LATE }
            wastedMessages += run.count { it.end == JobEnd.REFUSED }
            for (task in run.flatMap { it.tasks }.filter { it.hasEnded }) {
                starts++
                if (task.endedAtMillis > task.job.endedAtMillis) wastedMessages++ else stretch.add(task.stretch)
            }
        }

        fun figures(): List<Figure> =
            listOf(
                Figure(mix.name, variant.name, "median stretch", stretch.median),
                Figure(mix.name, variant.name, "mean stretch", stretch.mean),
                Figure(mix.name, variant.name, "p99 stretch", stretch.percentile(P99)),
                Figure(mix.name, variant.name, "wasted messages per start", wastedPerStart),
                Figure(mix.name, variant.name, "late jobs", late.toDouble() / jobs),
            )
    }

    private companion object {
        const val LOAD = 0.8
        const val P99 = 99.0
        val MIXES = listOf(JobMix.BOOKING, JobMix.CHECKS)
        val VARIANTS = listOf(Variant.IDEAL, Variant.ROUND_ROBIN, Variant.POWER_OF_TWO, Variant.CREDITS)
    }
}
