package io.egretlock.core.home

import io.egretlock.core.claim.BodyDigest
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId

/** A job at its home, from its claim until its outcome is forgotten. */
internal class HomeJob(
    val job: Job,
    val deadlineAtMillis: Long,
) {
    private val tasks = Array<TaskProgress>(job.tasks.size) { TaskProgress.Waiting(attempts = 0) }
    private var answered = 0
    private var placed = 0

    /** Digest that a resubmission must have. */
    val digest = BodyDigest.of(job)

    /** Whether an agent has a task of the job. */
    val hasPlacedTasks: Boolean
        get() = placed > 0

    /** How the job ended; null while it has not. */
    var outcome: JobOutcome? = null

    /** Whether a task of the job runs, ran, or cannot be shown not to have started. */
    val mayHaveStarted: Boolean
        get() = placed > 0 || answered > 0

    /** Tasks that are at an agent now. */
    val placedTasks: List<Pair<TaskId, TaskProgress.Placed>>
        get() =
            tasks.withIndex().mapNotNull { (index, progress) ->
                (progress as? TaskProgress.Placed)?.let { TaskId(job.id, index) to it }
            }

    fun progress(index: Int): TaskProgress = tasks[index]

    fun place(
        index: Int,
        agent: ProcessId,
    ): Int {
        val attempt = (tasks[index] as TaskProgress.Waiting).attempts + 1
        tasks[index] = TaskProgress.Placed(agent, attempt)
        placed++
        return attempt
    }

    /** The task is not at its agent any more, and has no answer. */
    fun unplace(index: Int) {
        tasks[index] = TaskProgress.Waiting((tasks[index] as TaskProgress.Placed).attempt)
        placed--
    }

    fun answer(
        index: Int,
        answer: String,
    ) {
        tasks[index] = TaskProgress.Answered(answer)
        placed--
        answered++
    }

    /** All answers in task order; null while one is missing. */
    fun answers(): List<String>? =
        if (answered < tasks.size) null else tasks.map { (it as TaskProgress.Answered).answer }
}

/** How far one task is. */
internal sealed interface TaskProgress {
    /** Not at any agent; [attempts] placements before were shown never to start. */
    data class Waiting(
        val attempts: Int,
    ) : TaskProgress

    /** Sent to [agent], where it may have started. */
    data class Placed(
        val agent: ProcessId,
        val attempt: Int,
    ) : TaskProgress

    /** Ran and answered. */
    data class Answered(
        val answer: String,
    ) : TaskProgress
}
