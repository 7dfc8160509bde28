package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/**
 * Order to an agent to start runs of tasks of one job.
 *
 * @property sequence number of the order on its connection, from 1; an agent's report names the last one it covers.
 * @property specification text that is passed to the upstream with each task.
 */
@Serializable
data class RunOrder(
    val sequence: Long,
    val job: JobId,
    val specification: String,
    val runs: List<OrderedRun>,
)

/**
 * A run of a [RunOrder].
 *
 * @property number number of the run, see [RunId].
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
    /** Returns the identity of the run as part of [job]. */
    fun id(job: JobId): RunId = RunId(StepTask(job, step, index), number)
}
