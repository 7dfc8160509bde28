package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.process.OpenLoop
import io.egretlock.bench.process.RetryPolicy
import io.egretlock.bench.process.SentJob
import io.egretlock.bench.process.StretchMeter
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.testing.system.TestSystem

/** Overload peak (crest) at real processes: demand rises to 3 times the capacity within 2 s, and falls back halfway. */
internal class ProcessCrestScenario(
    override val name: String,
    private val retryPolicy: (Double) -> RetryPolicy,
) : Scenario {
    override fun run(options: ScenarioOptions): ScenarioResult {
        val duration = ProcessFleet.durationMillis(options)
        val scale = ProcessFleet.scaleFigures()
        return ProcessFleet.start().use { system ->
            ProcessFleet.warmUp(system, options.seed)
            val arrivals =
                Arrivals(options.seed).draw(JobMix.BOOKING, Fleet.TEAM, Fleet.CAPACITY, duration, CREST_LOAD) {
                    loadAt(it, duration)
                }
            val clients = retryPolicy(duration)
            val sent = OpenLoop(system, ProcessFleet.SERVICE, options.seed + 1, clients).run(arrivals)
            val sample = Sample(sent, system, duration, clients is RetryPolicy.RetryAfterRefusal)
            val figures = scale + sample.figures()
            ScenarioResult(name, options.seed, 1, duration, figures, sample.bounds())
        }
    }

    private fun loadAt(
        millis: Double,
        duration: Double,
    ): Double =
        when {
            millis < RISE_MILLIS || millis > duration / 2 -> BASE_LOAD
            millis < CREST_MILLIS -> BASE_LOAD + (CREST_LOAD - BASE_LOAD) * (millis - RISE_MILLIS) / RISE_LENGTH_MILLIS
            else -> CREST_LOAD
        }

    private class Sample(
        private val sent: List<SentJob>,
        private val system: TestSystem,
        duration: Double,
        private val expectsRetries: Boolean,
    ) {
        private val meter = StretchMeter(system)
        private val fallMillis = duration / 2
        private val refused = sent.filter { it.isRefused }
        private val admitted = sent.filter { !it.isRefused }
        private val retried = sent.filter { it.isRetry }
        private val refusalMillis = Distribution().apply { refused.forEach { add(it.responseMillis) } }

        private val goodputShare: Double
            get() {
                val answered = sent.filter { it.isComplete && it.endedAtMillis in CREST_MILLIS..fallMillis }
                return answered.sumOf { it.work.workMillis } / (Fleet.CAPACITY * (fallMillis - CREST_MILLIS))
            }

        private val lateShare: Double
            get() = admitted.count(::isLate).toDouble() / admitted.size

        private val retrySuccess: Double
            get() = retried.count { it.isComplete }.toDouble() / retried.size.coerceAtLeast(1)

        private val recovery: Double
            get() = meanStretch(fallMillis + RECOVERY_MILLIS, 2 * fallMillis) / meanStretch(0.0, RISE_MILLIS)

        fun bounds(): List<Bound> =
            listOfNotNull(
                Bound.atLeast(LOAD_NAME, "work answered in time, of capacity", goodputShare, limit = 0.95),
                Bound.atMost(LOAD_NAME, "late admitted jobs", lateShare, limit = 0.01),
                Bound.atMost(LOAD_NAME, "p99 of a refusal in ms", refusalMillis.percentile(P99), limit = 50.0),
                Bound.atMost(LOAD_NAME, "mean stretch 5 s after, of normal", recovery, limit = 1.25),
                Bound
                    .atLeast(LOAD_NAME, "first returns that succeed", retrySuccess, limit = 0.9)
                    .takeIf { expectsRetries },
            )

        fun figures(): List<Figure> =
            listOf(
                figure("jobs", sent.size.toDouble()),
                figure("jobs refused", refused.size.toDouble()),
                figure("jobs lost", sent.count { it.isLost }.toDouble()),
                figure("returns", retried.size.toDouble()),
                figure("returns refused", retried.count { it.isRefused }.toDouble()),
                figure("longest Retry-After in s", longestRetryAfterMillis() / MILLIS_PER_SECOND),
                figure("broken promises", system.violations().size.toDouble()),
            )

        private fun isLate(job: SentJob) = job.isLost || job.responseMillis > job.work.deadlineMillis

        private fun longestRetryAfterMillis(): Double =
            refused.mapNotNull { job -> job.retryAtMillis?.let { it - job.endedAtMillis } }.maxOrNull() ?: 0.0

        private fun meanStretch(
            fromMillis: Double,
            toMillis: Double,
        ): Double {
            val jobs = sent.filter { it.isComplete && it.endedAtMillis - it.responseMillis in fromMillis..toMillis }
            return jobs.map(meter::stretch).average()
        }

        private fun figure(
            measure: String,
            value: Double,
        ) = Figure(LOAD_NAME, "processes", measure, value)
    }

    companion object {
        private const val LOAD_NAME = "crest"
        private const val BASE_LOAD = 0.8
        private const val CREST_LOAD = 3.0
        private const val RISE_MILLIS = 4_000.0
        private const val RISE_LENGTH_MILLIS = 2_000.0
        private const val CREST_MILLIS = RISE_MILLIS + RISE_LENGTH_MILLIS
        private const val RECOVERY_MILLIS = 5_000.0
        private const val TIMEOUT_MILLIS = 1_000L
        private const val MILLIS_PER_SECOND = 1_000
        private const val P99 = 99.0

        /** Clients submit a refused job again after Retry-After. */
        val RETURNS = ProcessCrestScenario("processes-returns") { RetryPolicy.RetryAfterRefusal(it) }

        /** Clients submit the same job again if there is no answer within a second. */
        val RESUBMITS = ProcessCrestScenario("processes-resubmits") { RetryPolicy.ResubmitAfterTimeout(TIMEOUT_MILLIS) }
    }
}
