package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ServiceName

/**
 * A job of one or more steps, whose tasks need room on an upstream. It is answered once, when all of its tasks have
 * ended.
 *
 * @property specification text that is passed unread to the upstream with each task.
 * @property unsupported features that the job requests and that are not supported; such a job is refused.
 */
data class StepJob(
    val id: JobId,
    val specification: String,
    val steps: List<JobStep>,
    val unsupported: Set<String> = emptySet(),
) {
    /** Estimated run time, in milliseconds, of the longest chain of dependent steps on an upstream of speed 1. */
    val criticalPathMillis: Double by lazy {
        val ends = DoubleArray(steps.size)
        steps.forEachIndexed { index, step ->
            val begin = step.after.maxOfOrNull { ends[it] } ?: 0.0
            ends[index] = begin + step.estimatedRunMillis
        }
        ends.maxOrNull() ?: 0.0
    }
}

/**
 * Step of a job: a number of equal tasks.
 *
 * @property room room that each task needs.
 * @property estimatedRunMillis rough estimate by the caller of the run time of one task.
 * @property after positions of earlier steps whose tasks must all have succeeded before this step starts.
 */
data class JobStep(
    val taskCount: Int,
    val room: Room,
    val estimatedRunMillis: Long,
    val after: List<Int> = emptyList(),
)

/**
 * A queue to which callers submit jobs, as defined by the operators' configuration.
 *
 * @property service name of the upstreams that run the queue's tasks.
 * @property priority priority of the queue; 0 is the highest.
 * @property attempts number of failed runs of one task after which its job has failed.
 * @property slackFactor factor on a job's estimated run time in its latency objective.
 * @property targetMillis time that is added to that product to give the latency objective.
 * @property needsAdvice whether another service decides which upstreams may run the queue's tasks. This is not
 * supported, and jobs of such queues are refused.
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
