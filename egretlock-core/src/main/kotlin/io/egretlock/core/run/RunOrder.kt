package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/**
 * Order to an agent to start runs of tasks of one job.
 *
 * @property sequence number of the order; the entry's orders to an agent have increasing numbers, and an agent's report
 * names the last one it covers.
 * @property specification text that is passed to the upstream with each task.
 * @property confirmWithinMillis time after which the agent stops the runs, unless the entry has confirmed by then that no
 * other entry works on the job; null if it is confirmed. The agent measures it, since the entry may stand still.
 */
@Serializable
data class RunOrder(
    val sequence: Long,
    val job: JobId,
    val specification: String,
    val runs: List<OrderedRun>,
    val confirmWithinMillis: Long? = null,
) {
    companion object {
        /**
         * Age up to which agents accept an order. An entry that has lost the connection over which it sent the order
         * relies on this limit when it places the tasks again. Twice the interval of heartbeats on idle connections,
         * since agents measure the age from the last heartbeat that the entry had received.
         */
        const val VALID_MILLIS = 1_200L
    }
}

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
