package io.egretlock.agent

import io.egretlock.core.job.TaskOutcome

/** How a call to an upstream ended. */
internal sealed interface CallEnd {
    /** No byte of the request was sent, so the task has not started. */
    data object NotStarted : CallEnd

    /** The request was sent, at least in part. */
    data class Ended(
        val outcome: TaskOutcome,
    ) : CallEnd
}
