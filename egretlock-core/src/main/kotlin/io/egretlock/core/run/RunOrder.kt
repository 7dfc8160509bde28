package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/**
 * Asks an agent to begin runs of tasks of one job.
 *
 * @property sequence number of the order on its connection, from 1; agents name the last one they have taken.
 * @property specification text that the upstream gets with each task.
 */
@Serializable
data class RunOrder(
    val sequence: Long,
    val job: JobId,
    val specification: String,
    val runs: List<OrderedRun>,
)

/**
 * One run of a [RunOrder].
 *
 * @property number run number of the task.
 * @property expectedMillis expected run time on an upstream of speed 1.
 */
@Serializable
data class OrderedRun(
    val step: Int,
    val index: Int,
    val number: Int,
    val room: Room,
    val expectedMillis: Double,
) {
    /** Identity of the run as part of [job]. */
    fun id(job: JobId): RunId = RunId(StepTask(job, step, index), number)
}
