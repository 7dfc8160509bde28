package io.egretlock.bench.load

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.TeamName

/**
 * One task of a generated job.
 *
 * @property runMillis run time on a worker of speed 1.
 * @property declaredMillis run time that the client declares in the job.
 */
data class WorkloadTask(
    val operation: OperationName,
    val runMillis: Double,
    val declaredMillis: Long,
)

/**
 * One generated job.
 *
 * @property arrivalMillis intended send time, since the start of the run.
 */
data class WorkloadJob(
    val arrivalMillis: Double,
    val team: TeamName,
    val deadlineMillis: Long,
    val tasks: List<WorkloadTask>,
) {
    /** Work of all tasks in milliseconds on a worker of speed 1. */
    val workMillis: Double
        get() = tasks.sumOf { it.runMillis }
}
