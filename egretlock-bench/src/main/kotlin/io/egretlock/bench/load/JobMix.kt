package io.egretlock.bench.load

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.TeamName
import java.util.Random
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.roundToLong

/**
 * One kind of job in a mix.
 *
 * @property share relative frequency of such jobs in the mix.
 * @property medianMillis median run time of its tasks on a worker of speed 1.
 * @property deviation standard deviation of the logarithm of the run time.
 * @property mostTasks tasks of the largest job; the number of tasks is log-uniform up to it.
 */
data class JobKind(
    val operation: OperationName,
    val share: Double,
    val medianMillis: Double,
    val deviation: Double,
    val mostTasks: Int,
    val deadlineMillis: Long,
) {
    /** Expected work of one job in milliseconds on a worker of speed 1. */
    val meanWorkMillis: Double
        get() = meanTasks * medianMillis * exp(deviation * deviation / 2)

    private val meanTasks: Double
        get() = (1..mostTasks).sumOf { size -> size * ln((size + 1.0) / size) } / ln(mostTasks + 1.0)
}

/** The mix of jobs that one user submits. */
data class JobMix(
    val name: String,
    val kinds: List<JobKind>,
) {
    /** Expected work of one job in milliseconds on a worker of speed 1. */
    val meanWorkMillis: Double
        get() = kinds.sumOf { it.share * it.meanWorkMillis } / kinds.sumOf { it.share }

    /** Draws a random job of [team] that arrives at [arrivalMillis]. */
    fun draw(
        team: TeamName,
        arrivalMillis: Double,
        random: Random,
    ): WorkloadJob {
        val kind = drawKind(random)
        val tasks = List(drawSize(kind, random)) { drawTask(kind, random) }
        return WorkloadJob(arrivalMillis, team, kind.deadlineMillis, tasks)
    }

    private fun drawKind(random: Random): JobKind {
        var left = random.nextDouble() * kinds.sumOf { it.share }
        return kinds.firstOrNull { kind ->
            left -= kind.share
            left < 0
        } ?: kinds.last()
    }

    private fun drawSize(
        kind: JobKind,
        random: Random,
    ): Int = (kind.mostTasks + 1.0).pow(random.nextDouble()).toInt().coerceIn(1, kind.mostTasks)

    private fun drawTask(
        kind: JobKind,
        random: Random,
    ): WorkloadTask {
        val runMillis = kind.medianMillis * exp(kind.deviation * random.nextGaussian())
        val declared = runMillis * exp(DECLARED_DEVIATION * random.nextGaussian())
        return WorkloadTask(kind.operation, runMillis, declared.roundToLong().coerceAtLeast(1))
    }

    companion object {
        private const val DECLARED_DEVIATION = 1.5
        private const val DEADLINE_MILLIS = 5_000L
        private const val LONG_DEADLINE_MILLIS = 60_000L

        private fun kind(
            operation: String,
            share: Double,
            medianMillis: Double,
            mostTasks: Int,
            deadlineMillis: Long = DEADLINE_MILLIS,
        ) = JobKind(OperationName(operation), share, medianMillis, deviation = 0.4, mostTasks, deadlineMillis)

        /** Booking jobs of the Haddad Futon Beating House. */
        val BOOKING =
            JobMix(
                "haddad",
                listOf(
                    kind("check-slot", share = 50.0, medianMillis = 70.0, mostTasks = 20),
                    kind("reserve-crew", share = 30.0, medianMillis = 250.0, mostTasks = 8),
                    kind("confirm-pickup", share = 18.0, medianMillis = 450.0, mostTasks = 8),
                    kind("book-street", share = 1.0, medianMillis = 120.0, mostTasks = 260),
                    kind("plan-day", share = 1.0, medianMillis = 3_000.0, mostTasks = 1, deadlineMillis = 30_000),
                ),
            )

        /** Short check jobs of Reti Etnee. */
        val CHECKS =
            JobMix(
                "reti-etnee",
                listOf(
                    kind("tear-check", share = 60.0, medianMillis = 150.0, mostTasks = 12),
                    kind("bolt-tag", share = 29.0, medianMillis = 400.0, mostTasks = 6),
                    kind("net-sweep", share = 1.0, medianMillis = 120.0, mostTasks = 260),
                ),
            )

        /** Long strain review jobs of Reti Etnee. */
        val REVIEWS =
            JobMix(
                "strain-reviews",
                listOf(
                    kind("strain-review", share = 10.0, medianMillis = 6_000.0, mostTasks = 1, LONG_DEADLINE_MILLIS),
                ),
            )

        /** Short check jobs, with one strain review in ten jobs. */
        val CHECKS_AND_REVIEWS = JobMix("reti-etnee-reviews", CHECKS.kinds + REVIEWS.kinds)
    }
}
