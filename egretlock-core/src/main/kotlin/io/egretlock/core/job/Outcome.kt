package io.egretlock.core.job

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Outcome of a task. */
@Serializable
sealed interface TaskOutcome {
    /** The task ran, and its upstream returned [answer], which is JSON text. */
    @Serializable
    @SerialName("succeeded")
    data class Succeeded(
        val answer: String,
    ) : TaskOutcome

    /** The task ended without an answer. */
    @Serializable
    @SerialName("ended")
    data class Ended(
        val verdict: Verdict,
    ) : TaskOutcome
}

/** Outcome of a job: all answers, or one verdict for the whole job. */
@Serializable
sealed interface JobOutcome {
    /** The job has an answer for each task, in task order; each is JSON text. */
    @Serializable
    @SerialName("complete")
    data class Complete(
        val answers: List<String>,
    ) : JobOutcome

    /** The job ended without an answer. */
    @Serializable
    @SerialName("without-answer")
    data class WithoutAnswer(
        val verdict: Verdict,
    ) : JobOutcome
}
