package io.egretlock.bench.simulation

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.load.WorkloadTask
import io.egretlock.core.job.JobId
import io.egretlock.core.job.TaskId

/** State of a simulated job, or how it ended. */
enum class JobEnd { PENDING, REFUSED, COMPLETE, FAILED, LATE }

/**
 * A submission of a job in a run, with its outcome.
 *
 * @property retries number of earlier submissions of the same work by its client.
 */
class SimulatedJob internal constructor(
    val work: WorkloadJob,
    val id: JobId,
    val arrivedAtMillis: Double,
    val retries: Int,
) {
    val tasks = work.tasks.mapIndexed { index, task -> SimulatedTask(this, task, TaskId(id, index)) }
    var end = JobEnd.PENDING
    var endedAtMillis = Double.NaN
    var retryAfterMillis: Long? = null
    internal var unfinishedTasks = tasks.size
}

/** A task in a run, with its outcome. */
class SimulatedTask internal constructor(
    val job: SimulatedJob,
    val work: WorkloadTask,
    val id: TaskId,
) {
    var runMillis = Double.NaN
    var endedAtMillis = Double.NaN
    var succeeded = false

    /** Name of the worker that ran the task; null before the start. */
    var worker: String? = null

    /** Whether the task has ended, with success or failure. */
    val hasEnded: Boolean
        get() = !endedAtMillis.isNaN()

    /** Response time relative to the run time on [worker]. */
    val stretch: Double
        get() = responseMillis / runMillis

    val responseMillis: Double
        get() = endedAtMillis - job.arrivedAtMillis
}
