package io.egretlock.core.run

import io.egretlock.core.job.Verdict
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Final answer to a [StepJob]. */
@Serializable
sealed interface StepJobOutcome {
    /** All tasks succeeded. */
    @Serializable
    @SerialName("succeeded")
    data object Succeeded : StepJobOutcome

    /** [task] failed as many times as its queue allows attempts. */
    @Serializable
    @SerialName("failed")
    data class Failed(
        val task: StepTask,
    ) : StepJobOutcome

    /** The job was refused or given up; [verdict] shows whether any of its tasks may have run. */
    @Serializable
    @SerialName("given-up")
    data class GivenUp(
        val verdict: Verdict,
    ) : StepJobOutcome
}
