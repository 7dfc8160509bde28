package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.JobEnd
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.bench.simulation.SimulatedRetryPolicy

/** Overload peak (crest): demand rises to three times the capacity within 2 s, stays there for 20 s, and falls back. */
internal class CrestScenario : Scenario {
    override val name = "crest"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val samples = RETRY_POLICIES.keys.flatMap { clients -> VARIANTS.map { variant -> Sample(clients, variant) } }
        for (seed in options.seeds) {
            val arrivals = Arrivals(seed).draw(MIX, Fleet.TEAM, Fleet.CAPACITY, END_MILLIS, CREST_LOAD, ::loadAt)
            for (sample in samples) {
                sample.add(
                    Trial(arrivals, seed, retryPolicy = RETRY_POLICIES.getValue(sample.clients)).run(sample.variant),
                )
            }
        }
        val bounds = samples.filter { it.variant === Variant.CREDITS }.flatMap { it.bounds() }
        val figures = samples.flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, END_MILLIS, figures, bounds)
    }

    private fun loadAt(millis: Double): Double =
        when {
            millis < RISE_MILLIS -> BASE_LOAD
            millis < CREST_MILLIS -> BASE_LOAD + (CREST_LOAD - BASE_LOAD) * (millis - RISE_MILLIS) / RISE_LENGTH_MILLIS
            millis < FALL_MILLIS -> CREST_LOAD
            else -> BASE_LOAD
        }

    private class Sample(
        val clients: String,
        val variant: Variant,
    ) {
        private val normalStretch = Distribution()
        private val laterStretch = Distribution()
        private var runs = 0
        private var answeredWork = 0.0
        private var admitted = 0L
        private var late = 0L
        private var refused = 0L
        private var starts = 0L
        private var wastedMessages = 0L
        private var retried = 0L
        private var retriedAndCompleted = 0L

        private val goodputShare: Double
            get() = answeredWork / (runs * Fleet.CAPACITY * (FALL_MILLIS - CREST_MILLIS))

        private val lateShare: Double
            get() = late.toDouble() / admitted

        private val retrySuccess: Double
            get() = if (retried == 0L) 1.0 else retriedAndCompleted.toDouble() / retried

        private val wastedPerStart: Double
            get() = wastedMessages.toDouble() / starts

        private val recovery: Double
            get() = laterStretch.mean / normalStretch.mean

        fun add(run: List<SimulatedJob>) {
            runs++
            run.forEach(::addJob)
            val ended = run.flatMap { it.tasks }.filter { it.hasEnded }
            starts += ended.size
            wastedMessages += ended.count { it.endedAtMillis > it.job.endedAtMillis }
        }

        private fun addJob(job: SimulatedJob) {
            if (job.end == JobEnd.REFUSED) refused++ else admitted++
            if (job.end == JobEnd.REFUSED) wastedMessages++
            if (job.end == JobEnd.LATE) late++
            if (job.retries == 1) {
                retried++
                if (job.end == JobEnd.COMPLETE) retriedAndCompleted++
            }
            if (job.end != JobEnd.COMPLETE) return
            if (job.endedAtMillis in CREST_MILLIS..FALL_MILLIS) answeredWork += job.work.workMillis
            val arrived = job.arrivedAtMillis
            val distribution =
                when {
                    arrived < RISE_MILLIS -> normalStretch
                    arrived in (FALL_MILLIS + RECOVERY_MILLIS)..END_MILLIS -> laterStretch
                    else -> return
                }
            job.tasks.forEach { task -> distribution.add(task.stretch) }
        }

        fun bounds(): List<Bound> =
            listOf(
                Bound.atLeast(clients, "work answered in time at the crest, of capacity", goodputShare, limit = 0.95),
                Bound.atMost(clients, "late admitted jobs", lateShare, limit = 0.01),
                Bound.atLeast(clients, "first returns that succeed", retrySuccess, limit = 0.9),
                Bound.atMost(clients, "mean stretch 5 s after, of normal", recovery, limit = 1.25),
                Bound.atMost(clients, "wasted messages per start", wastedPerStart, limit = 0.1),
            )

        fun figures(): List<Figure> =
            listOf(
                Figure(clients, variant.name, "work answered in time at the crest, of capacity", goodputShare),
                Figure(clients, variant.name, "late admitted jobs", lateShare),
                Figure(clients, variant.name, "refused submissions", refused.toDouble() / (refused + admitted)),
                Figure(clients, variant.name, "first returns that succeed", retrySuccess),
                Figure(clients, variant.name, "mean stretch 5 s after, of normal", recovery),
                Figure(clients, variant.name, "wasted messages per start", wastedPerStart),
            )
    }

    private companion object {
        const val BASE_LOAD = 0.8
        const val CREST_LOAD = 3.0
        const val RISE_MILLIS = 20_000.0
        const val RISE_LENGTH_MILLIS = 2_000.0
        const val CREST_MILLIS = RISE_MILLIS + RISE_LENGTH_MILLIS
        const val FALL_MILLIS = CREST_MILLIS + 20_000.0
        const val RECOVERY_MILLIS = 5_000.0
        const val END_MILLIS = FALL_MILLIS + 20_000.0
        val MIX = JobMix.BOOKING
        val RETRY_POLICIES =
            mapOf(
                "clients give up" to SimulatedRetryPolicy(),
                "clients come back when told" to SimulatedRetryPolicy(retriesAfterRefusal = 1),
                "clients resubmit on a timeout" to SimulatedRetryPolicy(retriesAfterTimeout = true),
            )
        val VARIANTS =
            listOf(Variant.ROUND_ROBIN, Variant.POWER_OF_TWO, Variant.CREDITS, Variant.WITHOUT_ADMISSION)
    }
}
