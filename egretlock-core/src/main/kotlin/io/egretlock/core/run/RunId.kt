package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/** Identity of a task of a [StepJob]: the step and the position in the step, both counted from 0. */
@Serializable
data class StepTask(
    val job: JobId,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job.$step.$index"
}

/**
 * Identity of a run of a task. Numbers increase with each run of a task; an upstream refuses a number that does not.
 */
@Serializable
data class RunId(
    val task: StepTask,
    val number: Int,
) {
    override fun toString(): String = "$task#$number"
}
