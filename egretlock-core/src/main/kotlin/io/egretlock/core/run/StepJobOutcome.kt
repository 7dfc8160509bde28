package io.egretlock.core.run

import io.egretlock.core.job.Verdict

/** The one answer of a [StepJob]. */
sealed interface StepJobOutcome {
    /** All tasks succeeded. */
    data object Succeeded : StepJobOutcome

    /** A task failed as often as its queue allows. */
    data class Failed(
        val task: StepTask,
    ) : StepJobOutcome

    /** The job was given up; [verdict] says whether anything may have run. */
    data class GivenUp(
        val verdict: Verdict,
    ) : StepJobOutcome
}
