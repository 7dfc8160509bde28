package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.JobEnd
import io.egretlock.bench.simulation.SimulatedJob

/** Short checks with and without one long strain review in ten jobs; both together load 0.8 of the capacity. */
internal class BlockingScenario : Scenario {
    override val name = "blocking"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val without = Sample("without reviews", Variant.CREDITS)
        val with = VARIANTS.map { variant -> Sample("with reviews", variant) }
        for (seed in options.seeds) {
            val mixed = Arrivals(seed).steady(MIX, Fleet.TEAM, Fleet.CAPACITY, options.durationMillis, LOAD)
            val checksOnly = mixed.filter { job -> job.tasks.first().operation != REVIEW }
            without.add(Trial(checksOnly, seed).run(without.variant))
            with.forEach { sample -> sample.add(Trial(mixed, seed).run(sample.variant)) }
        }
        val credits = with.first { it.variant === Variant.CREDITS }
        val bounds =
            listOf(
                Bound.atMost(
                    MIX.name,
                    "p99 of short checks against none long",
                    credits.p99 / without.p99,
                    limit = 1.25,
                ),
                Bound.atLeast(MIX.name, "reviews answered in time", credits.reviewsAnswered, limit = 0.95),
            )
        val figures = (listOf(without) + with).flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, options.durationMillis, figures, bounds)
    }

    private class Sample(
        val load: String,
        val variant: Variant,
    ) {
        private val checkMillis = Distribution()
        private val reviewMillis = Distribution()
        private var reviews = 0L
        private var answeredReviews = 0L

        val p99: Double
            get() = checkMillis.percentile(P99)

        val reviewsAnswered: Double
            get() = if (reviews == 0L) 1.0 else answeredReviews.toDouble() / reviews

        fun add(run: List<SimulatedJob>) {
            for (job in run) {
                if (job.work.tasks
                        .first()
                        .operation == REVIEW
                ) {
                    reviews++
                    if (job.end == JobEnd.COMPLETE) {
                        answeredReviews++
                        reviewMillis.add(job.endedAtMillis - job.arrivedAtMillis)
                    }
                } else {
                    job.tasks.filter { it.hasEnded }.forEach { task -> checkMillis.add(task.responseMillis) }
                }
            }
        }

        fun figures(): List<Figure> =
            listOf(
                Figure(load, variant.name, "median of short checks in ms", checkMillis.median),
                Figure(load, variant.name, "p99 of short checks in ms", p99),
                Figure(load, variant.name, "reviews answered in time", reviewsAnswered),
                Figure(load, variant.name, "median of reviews in ms", reviewMillis.median),
                Figure(load, variant.name, "p99 of reviews in ms", reviewMillis.percentile(P99)),
            )
    }

    private companion object {
        const val LOAD = 0.8
        const val P99 = 99.0
        val MIX = JobMix.CHECKS_AND_REVIEWS
        val REVIEW =
            JobMix.REVIEWS.kinds
                .first()
                .operation
        val VARIANTS =
            listOf(
                Variant.IDEAL,
                Variant.ROUND_ROBIN,
                Variant.POWER_OF_TWO,
                Variant.WITHOUT_CLASSES,
                Variant.CREDITS,
            )
    }
}
