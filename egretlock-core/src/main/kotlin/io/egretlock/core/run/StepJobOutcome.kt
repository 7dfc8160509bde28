package io.egretlock.core.run

import io.egretlock.core.job.Verdict

/** Final answer to a [StepJob]. */
sealed interface StepJobOutcome {
    /** All tasks succeeded. */
    data object Succeeded : StepJobOutcome

    /** [task] failed as many times as its queue allows attempts. */
    data class Failed(
        val task: StepTask,
    ) : StepJobOutcome

    /** The job was refused or given up; [verdict] shows whether any of its tasks may have run. */
    data class GivenUp(
        val verdict: Verdict,
    ) : StepJobOutcome
}
