package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.JobEnd
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.bench.simulation.WorkerChange

/** One of eleven workers fails every task immediately during the middle half of the run. */
internal class BlackHoleScenario : Scenario {
    override val name = "black-hole"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val faultMillis = options.durationMillis / QUARTERS
        val repairMillis = faultMillis * (QUARTERS - 1)
        val speed = Fleet.WORKERS.first { it.name == WORKER }.speed
        val changes =
            listOf(
                WorkerChange(faultMillis, WORKER, speed, true),
                WorkerChange(repairMillis, WORKER, speed, false),
            )
        val samples = VARIANTS.map { variant -> Sample(variant, faultMillis, repairMillis) }
        for (seed in options.seeds) {
            val arrivals =
                Arrivals(seed).steady(JobMix.BOOKING, Fleet.TEAM, Fleet.CAPACITY, options.durationMillis, LOAD)
            samples.forEach { it.add(Trial(arrivals, seed, changes = changes).run(it.variant)) }
        }
        val credits = samples.first { it.variant === Variant.CREDITS }
        val bounds =
            listOf(
                Bound.atMost(LOAD_NAME, "jobs lost after 2 s", credits.lostShare, limit = 0.01),
                Bound.atLeast(
                    LOAD_NAME,
                    "use after the repair, of use before the fault",
                    credits.useAfterRepair,
                    limit = 0.5,
                ),
            )
        val figures = samples.flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, options.durationMillis, figures, bounds)
    }

    private class Sample(
        val variant: Variant,
        private val faultMillis: Double,
        private val repairMillis: Double,
    ) {
        private var lostEarly = 0L
        private var jobs = 0L
        private var lost = 0L
        private var startsBefore = 0L
        private var startsAfter = 0L

        val lostShare: Double
            get() = lost.toDouble() / jobs

        /** Ended tasks on the worker after the repair, relative to a period of the same length before the fault. */
        val useAfterRepair: Double
            get() = startsAfter.toDouble() / startsBefore

        fun add(run: List<SimulatedJob>) {
            for (job in run) {
                val isLost = job.end == JobEnd.FAILED
                if (job.arrivedAtMillis in faultMillis..faultMillis + REACTION_MILLIS && isLost) lostEarly++
                if (job.arrivedAtMillis in faultMillis + REACTION_MILLIS..repairMillis) {
                    jobs++
                    if (isLost) lost++
                }
            }
            val ended = run.flatMap { it.tasks }.filter { it.hasEnded && it.worker == WORKER }
            startsBefore += ended.count { it.endedAtMillis in SETTLING_MILLIS..faultMillis }
            startsAfter +=
                ended.count { it.endedAtMillis in repairMillis + SETTLING_MILLIS..repairMillis + faultMillis }
        }

        fun figures(): List<Figure> =
            listOf(
                Figure(LOAD_NAME, variant.name, "jobs lost in the first 2 s", lostEarly.toDouble()),
                Figure(LOAD_NAME, variant.name, "jobs lost after 2 s", lostShare),
                Figure(LOAD_NAME, variant.name, "use after the repair, of use before the fault", useAfterRepair),
            )
    }

    private companion object {
        const val WORKER = "worker-3"
        const val LOAD = 0.7
        const val LOAD_NAME = "load 0.7"
        const val QUARTERS = 4
        const val REACTION_MILLIS = 2_000.0
        const val SETTLING_MILLIS = 10_000.0
        val VARIANTS =
            listOf(Variant.ROUND_ROBIN, Variant.POWER_OF_TWO, Variant.WITHOUT_CIRCUIT_BREAKER, Variant.CREDITS)
    }
}
