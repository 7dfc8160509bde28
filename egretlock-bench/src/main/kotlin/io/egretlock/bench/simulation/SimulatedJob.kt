package io.egretlock.bench.simulation

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.load.WorkloadTask
import io.egretlock.core.job.JobId
import io.egretlock.core.job.TaskId

/** How a simulated job ended. */
enum class JobEnd { PENDING, REFUSED, COMPLETE, FAILED, LATE }

/**
 * A job in a run, and what became of it.
 *
 * @property returns how often its client has come back after a refusal.
 */
class SimulatedJob internal constructor(
    val work: WorkloadJob,
    val id: JobId,
    val arrivedAtMillis: Double,
    val returns: Int,
) {
    val tasks = work.tasks.mapIndexed { index, task -> SimulatedTask(this, task, TaskId(id, index)) }
    var end = JobEnd.PENDING
    var endedAtMillis = Double.NaN
    var retryAfterMillis: Long? = null
    internal var unfinished = tasks.size
}

/** A task in a run, and what became of it. */
class SimulatedTask internal constructor(
    val job: SimulatedJob,
    val work: WorkloadTask,
    val id: TaskId,
) {
    var runMillis = Double.NaN
    var endedAtMillis = Double.NaN
    var succeeded = false

    /** Name of the worker that ran the task; null if none has. */
    var worker: String? = null

    /** Whether the task ran to an end. */
    val hasEnded: Boolean
        get() = !endedAtMillis.isNaN()

    /** Time from the intended send time to the end, relative to the run time on that worker. */
    val stretch: Double
        get() = responseMillis / runMillis

    val responseMillis: Double
        get() = endedAtMillis - job.arrivedAtMillis
}
