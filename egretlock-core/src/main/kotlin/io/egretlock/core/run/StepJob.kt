package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ServiceName

/**
 * A job of steps, whose tasks need room on an upstream. It is answered once, when all of its tasks have ended.
 *
 * @property specification text that is handed to the upstream with each task, unread.
 * @property unsupported features that the job asks for and the system does not offer; such a job is refused.
 */
data class StepJob(
    val id: JobId,
    val specification: String,
    val steps: List<JobStep>,
    val unsupported: Set<String> = emptySet(),
) {
    /** Estimated run time of the longest chain of dependent steps on an upstream of speed 1. */
    val longestChainMillis: Double by lazy {
        val ends = DoubleArray(steps.size)
        steps.forEachIndexed { index, step ->
            val begin = step.after.maxOfOrNull { ends[it] } ?: 0.0
            ends[index] = begin + step.estimatedRunMillis
        }
        ends.maxOrNull() ?: 0.0
    }
}

/**
 * Tasks of a job that are alike.
 *
 * @property room what each task needs.
 * @property estimatedRunMillis the caller's rough estimate of one task's run time.
 * @property after positions of earlier steps whose tasks must all have succeeded first.
 */
data class JobStep(
    val taskCount: Int,
    val room: Room,
    val estimatedRunMillis: Long,
    val after: List<Int> = emptyList(),
)

/**
 * A queue that callers submit jobs to, as the operators' configuration defines it.
 *
 * @property service name of the upstreams that run the queue's tasks.
 * @property priority 0 comes first.
 * @property attempts failed runs of one task after which its job has failed.
 * @property slackFactor share of a job's own run time that its latency objective allows.
 * @property targetMillis time that the latency objective adds to that.
 * @property needsAdvice whether another service decides which upstreams may run its tasks; such queues are not served.
 */
data class JobQueue(
    val name: String,
    val service: ServiceName,
    val priority: Int,
    val attempts: Int,
    val slackFactor: Double,
    val targetMillis: Long,
    val needsAdvice: Boolean = false,
)
