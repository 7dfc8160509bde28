package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/** Action that a [StepJobScheduler] requests from its process. */
sealed interface StepJobEffect {
    /** Send [order] to [agent]. */
    data class Start(
        val agent: ProcessId,
        val order: RunOrder,
    ) : StepJobEffect

    /** Ask [agent] to stop [run]. */
    data class Stop(
        val agent: ProcessId,
        val run: RunId,
    ) : StepJobEffect

    /** Tell [agent] that no other entry works on [job], so that the runs ordered from it may go on. */
    data class ConfirmRuns(
        val agent: ProcessId,
        val job: JobId,
    ) : StepJobEffect

    /** Answer all callers that wait for [job] with [outcome]. */
    data class Answer(
        val job: JobId,
        val outcome: StepJobOutcome,
    ) : StepJobEffect
}
