package io.egretlock.core.job

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How one task ended. */
@Serializable
sealed interface TaskOutcome {
    /** The task ran and its upstream gave [answer], which is JSON text. */
    @Serializable
    @SerialName("succeeded")
    data class Succeeded(
        val answer: String,
    ) : TaskOutcome

    /** The task has no answer. */
    @Serializable
    @SerialName("ended")
    data class Ended(
        val verdict: Verdict,
    ) : TaskOutcome
}

/** How a job ended: complete, or with one verdict for the whole job. */
@Serializable
sealed interface JobOutcome {
    /** One answer for each task, in task order; each is JSON text. */
    @Serializable
    @SerialName("complete")
    data class Complete(
        val answers: List<String>,
    ) : JobOutcome

    /** The job has no answer. */
    @Serializable
    @SerialName("without-answer")
    data class WithoutAnswer(
        val verdict: Verdict,
    ) : JobOutcome
}
