package io.egretlock.core.home

import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName

/** An effect that the caller of a [Home] has to carry out. */
sealed interface HomeEffect {
    /** Reports the outcome of a job of [team] to everyone who waits for it. Emitted once for each claimed job. */
    data class JobEnded(
        val job: JobId,
        val team: TeamName,
        val outcome: JobOutcome,
    ) : HomeEffect

    /** Starts one attempt of a task. [remainingMillis] is the time left until the job's deadline. */
    data class StartTask(
        val agent: ProcessId,
        val attempt: TaskAttempt,
        val team: TeamName,
        val specification: TaskSpecification,
        val remainingMillis: Long,
    ) : HomeEffect

    /** Acknowledges the answer of [task], so that the agent may drop it. */
    data class AcknowledgeTask(
        val agent: ProcessId,
        val task: TaskId,
    ) : HomeEffect

    /** Cancels [task], whose answer is no longer needed; the agent may stop it. */
    data class CancelTask(
        val agent: ProcessId,
        val task: TaskId,
    ) : HomeEffect

    /** Asks for the states of [attempts]. The agent must not start an attempt afterwards that it has not seen. */
    data class ReconcileTasks(
        val agent: ProcessId,
        val attempts: List<TaskAttempt>,
    ) : HomeEffect

    /** Tells [agent] how many more credits can be used immediately. */
    data class RequestCredits(
        val agent: ProcessId,
        val wanted: Int,
    ) : HomeEffect

    /** Returns [count] unused credits to [agent]. */
    data class ReturnCredits(
        val agent: ProcessId,
        val count: Int,
    ) : HomeEffect
}
