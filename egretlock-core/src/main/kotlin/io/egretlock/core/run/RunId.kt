package io.egretlock.core.run

import io.egretlock.core.job.JobId
import kotlinx.serialization.Serializable

/** One task of a [StepJob]: its step and its position in the step, both from 0. */
@Serializable
data class StepTask(
    val job: JobId,
    val step: Int,
    val index: Int,
) {
    override fun toString(): String = "$job.$step.$index"
}

/** One run of a task. Numbers rise with each run of the same task; an upstream refuses numbers that do not. */
@Serializable
data class RunId(
    val task: StepTask,
    val number: Int,
) {
    override fun toString(): String = "$task#$number"
}
