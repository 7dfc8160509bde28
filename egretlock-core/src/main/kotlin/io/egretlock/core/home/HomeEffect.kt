package io.egretlock.core.home

import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName

/** What a [Home] asks its process to do. */
sealed interface HomeEffect {
    /** A job of [team] ended; everyone who waits for it is answered. Emitted once for each claimed job. */
    data class JobEnded(
        val job: JobId,
        val team: TeamName,
        val outcome: JobOutcome,
    ) : HomeEffect

    /** Start one attempt of a task. [remainingMillis] is the time left until the job's deadline. */
    data class StartTask(
        val agent: ProcessId,
        val attempt: TaskAttempt,
        val team: TeamName,
        val specification: TaskSpecification,
        val remainingMillis: Long,
    ) : HomeEffect

    /** The answer of [task] is safe here; the agent may forget it. */
    data class AcknowledgeTask(
        val agent: ProcessId,
        val task: TaskId,
    ) : HomeEffect

    /** Nobody needs the answer of [task] any more; the agent may stop it. */
    data class CancelTask(
        val agent: ProcessId,
        val task: TaskId,
    ) : HomeEffect

    /** Ask what became of [attempts]; an attempt that the agent has never seen must not start afterwards. */
    data class ReconcileTasks(
        val agent: ProcessId,
        val attempts: List<TaskAttempt>,
    ) : HomeEffect

    /** Tell [agent] how many more credits would be used at once. */
    data class RequestCredits(
        val agent: ProcessId,
        val wanted: Int,
    ) : HomeEffect

    /** Give [count] unused credits back to [agent]. */
    data class ReturnCredits(
        val agent: ProcessId,
        val count: Int,
    ) : HomeEffect
}
