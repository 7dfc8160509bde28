package io.egretlock.bench.steps

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.JobStep
import io.egretlock.core.run.Room
import io.egretlock.core.run.StepJob
import java.util.Random
import kotlin.math.PI
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.roundToInt
import kotlin.math.sin

/** A job of steps with the data that only the simulation knows: arrival time, run times of the tasks and worth. */
internal class ArrivingJob(
    val arrivalMillis: Double,
    val entry: Int,
    val queue: JobQueue,
    val job: StepJob,
    val taskMillis: List<Double>,
    val worth: Double,
) {
    /** Time since arrival up to which an answer earns the whole worth; up to [LATE_FACTOR] times it earns a fifth. */
    val objectiveMillis: Double = queue.slackFactor * taskMillis.max() + queue.targetMillis

    companion object {
        const val LATE_FACTOR = 3.0
    }
}

/**
 * Demand of the booking service: three kinds of job with about equal total worth, whose rate follows a sine wave with a
 * period of 15 s and an amplitude of about a half. A burst on its crest raises the demand to about 1.5 times the room.
 *
 * @param perSecond mean number of jobs per second.
 * @param burst factor by which the rate rises between [BURST_FROM_MILLIS] and [BURST_UNTIL_MILLIS].
 * @param entries number of entries; with [UNEVEN_ENTRIES], one gets the largest share of the jobs, as the hash of
 *   a load balancer may have it.
 */
internal class CrestLoad(
    seed: Long,
    private val perSecond: Double,
    private val burst: Double,
    private val entries: Int = UNEVEN_ENTRIES,
) {
    private val random = Random(seed)

    /** Draws the jobs of [durationMillis], in order of arrival. */
    fun jobs(durationMillis: Double): List<ArrivingJob> {
        val jobs = mutableListOf<ArrivingJob>()
        val highest = perSecond * (1 + RATE_AMPLITUDE) * burst
        var now = 0.0
        while (true) {
            now += -ln(1 - random.nextDouble()) / highest * MILLIS
            if (now >= durationMillis) return jobs
            if (random.nextDouble() * highest < rate(now)) jobs += job(now, jobs.size)
        }
    }

    private fun entry(): Int =
        when {
            entries != UNEVEN_ENTRIES -> random.nextInt(entries)
            random.nextDouble() < LARGEST_SHARE -> 0
            else -> 1 + random.nextInt(2)
        }

    private fun rate(nowMillis: Double): Double {
        val wave = 1 + RATE_AMPLITUDE * sin(2 * PI * (nowMillis / PERIOD_MILLIS + PHASE))
        val factor = if (nowMillis in BURST_FROM_MILLIS..BURST_UNTIL_MILLIS) burst else 1.0
        return perSecond * wave * factor
    }

    private fun job(
        arrivalMillis: Double,
        number: Int,
    ): ArrivingJob {
        val kind = kind()
        val tasks = max(1, (kind.width * lognormal(JOB_SPREAD)).roundToInt()).coerceAtMost(WIDEST_FACTOR * kind.width)
        val tail = if (random.nextDouble() < TAIL_SHARE) TAIL_FACTOR else 1.0
        val base = kind.taskMillis * lognormal(JOB_SPREAD) * tail
        val taskMillis = List(tasks) { base * lognormal(TASK_SPREAD) }
        val cores = kind.coresPerTask * lognormal(CORES_SPREAD)
        val room = Room((cores * MILLIS).toLong(), MEGABYTES_PER_TASK)
        val estimate = (base * lognormal(ESTIMATE_ERROR)).toLong().coerceAtLeast(1)
        val step = JobStep(tasks, room, estimate)
        val work = taskMillis.sum() * cores / (kind.taskMillis * kind.width * kind.coresPerTask)
        val worth = kind.worth * (FIXED_WORTH_SHARE + (1 - FIXED_WORTH_SHARE) * work).coerceAtMost(MAX_WORTH_FACTOR)
        return ArrivingJob(
            arrivalMillis,
            entry(),
            kind.queue,
            StepJob(JobId("$number"), "", listOf(step)),
            taskMillis,
            worth,
        )
    }

    private fun kind(): Kind {
        val draw = random.nextDouble() * KINDS.sumOf { it.share }
        var sum = 0.0
        return KINDS.first {
            sum += it.share
            draw < sum
        }
    }

    private fun lognormal(spread: Double): Double = exp(spread * random.nextGaussian() - spread * spread / 2)

    private class Kind(
        val queue: JobQueue,
        val share: Double,
        val width: Int,
        val taskMillis: Double,
        val worth: Double,
    ) {
        val coresPerTask = 6.2
    }

    companion object {
        val SERVICE = ServiceName("booking")
        const val BURST_FROM_MILLIS = 3_000.0
        const val BURST_UNTIL_MILLIS = 7_000.0
        private const val MILLIS = 1_000.0
        private const val RATE_AMPLITUDE = 0.55
        private const val PERIOD_MILLIS = 15_000.0
        private const val PHASE = 0.0
        private const val JOB_SPREAD = 0.4

        /** Widest job of a kind, as a multiple of its mean width. */
        private const val WIDEST_FACTOR = 4
        private const val TASK_SPREAD = 0.15
        private const val CORES_SPREAD = 0.2
        private const val ESTIMATE_ERROR = 0.4
        private const val TAIL_SHARE = 0.03
        private const val TAIL_FACTOR = 7.0
        private const val FIXED_WORTH_SHARE = 0.3
        private const val MAX_WORTH_FACTOR = 4.0
        private const val MEGABYTES_PER_TASK = 64L

        /** Share of the jobs that the load balancer sends to the entry with the largest share. */
        private const val LARGEST_SHARE = 0.4

        /** Number of entries for which the shares of the load balancer differ. */
        private const val UNEVEN_ENTRIES = 3

        private fun queue(
            name: String,
            priority: Int,
            attempts: Int,
        ) = JobQueue(name, SERVICE, priority, attempts, slackFactor = 1.6, targetMillis = 60)

        private val KINDS =
            listOf(
                Kind(queue("slot-check", 0, 2), share = 34.4, width = 8, taskMillis = 72.9, worth = 0.0291),
                Kind(queue("crew-reserve", 2, 3), share = 6.25, width = 4, taskMillis = 1_086.0, worth = 0.16),
                Kind(queue("pickup-confirm", 1, 3), share = 100.0, width = 2, taskMillis = 243.0, worth = 0.01),
            )
    }
}
