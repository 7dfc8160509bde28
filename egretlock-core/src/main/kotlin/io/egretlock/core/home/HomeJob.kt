package io.egretlock.core.home

import io.egretlock.core.claim.BodyDigest
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId

/** A job at its home, from its claim until it has ended and no task of it is placed on an agent. */
internal class HomeJob(
    val job: Job,
    val deadlineAtMillis: Long,
) {
    private val tasks = Array<TaskProgress>(job.tasks.size) { TaskProgress.Waiting(attempts = 0) }
    private var answeredCount = 0
    private var placedCount = 0

    /** Digest that a resubmission of the job must match. */
    val digest = BodyDigest.of(job)

    val hasPlacedTasks: Boolean
        get() = placedCount > 0

    /** Outcome of the job; null until it has ended. */
    var outcome: JobOutcome? = null

    /** Whether a task of the job was answered, or is placed on an agent and may have started. */
    val mayHaveStarted: Boolean
        get() = placedCount > 0 || answeredCount > 0

    /** Tasks that are placed on an agent. */
    val placedTasks: List<Pair<TaskId, TaskProgress.Placed>>
        get() =
            tasks.withIndex().mapNotNull { (index, progress) ->
                (progress as? TaskProgress.Placed)?.let { TaskId(job.id, index) to it }
            }

    fun progress(index: Int): TaskProgress = tasks[index]

    fun recordPlacement(
        index: Int,
        agent: ProcessId,
    ): Int {
        val attempt = (tasks[index] as TaskProgress.Waiting).attempts + 1
        tasks[index] = TaskProgress.Placed(agent, attempt)
        placedCount++
        return attempt
    }

    /** Records that a task is no longer placed on its agent and has no answer. */
    fun removePlacement(index: Int) {
        tasks[index] = TaskProgress.Waiting((tasks[index] as TaskProgress.Placed).attempt)
        placedCount--
    }

    fun recordAnswer(
        index: Int,
        answer: String,
    ) {
        tasks[index] = TaskProgress.Answered(answer)
        placedCount--
        answeredCount++
    }

    /** Returns all answers in task order, or null while one is missing. */
    fun answers(): List<String>? =
        if (answeredCount < tasks.size) null else tasks.map { (it as TaskProgress.Answered).answer }
}

/** Progress of one task. */
internal sealed interface TaskProgress {
    /** Not placed on an agent. [attempts] is the number of earlier placements, none of which can start any more. */
    data class Waiting(
        val attempts: Int,
    ) : TaskProgress

    /** Placed on [agent], where it may have started. */
    data class Placed(
        val agent: ProcessId,
        val attempt: Int,
    ) : TaskProgress

    /** Succeeded with [answer]. */
    data class Answered(
        val answer: String,
    ) : TaskProgress
}
