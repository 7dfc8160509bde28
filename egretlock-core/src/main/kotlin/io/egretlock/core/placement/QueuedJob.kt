package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.TaskSpecification

/** A job that a dispatcher has admitted and that still has tasks waiting or placed. */
internal class QueuedJob(
    val job: Job,
    val deadlineAtMillis: Long,
) {
    /** Parts of the job that wait in a queue. */
    val parts = ArrayList<QueuedPart>(1)
    var waitingTasks = 0
    var placedTasks = 0
    var isWithdrawn = false

    /** Adds tasks that wait from now on. */
    fun add(part: QueuedPart) {
        parts.removeIf { it.remaining == 0 }
        parts.add(part)
        waitingTasks += part.remaining
    }
}

/**
 * Tasks of one job and one class that wait in a queue.
 *
 * @property workMillis expected work of each task.
 */
internal class QueuedPart(
    val owner: QueuedJob,
    private val indices: IntArray,
    val workMillis: Double,
    val taskClass: TaskClass,
) {
    private var next = 0

    /** Tasks that still wait; 0 once the part is dropped. */
    val remaining: Int
        get() = indices.size - next

    /** What the task that is next does. */
    val nextSpecification: TaskSpecification
        get() = owner.job.tasks[indices[next]]

    /** Takes the next task and returns its index in the job. */
    fun take(): Int = indices[next++]

    /** Gives up the tasks that still wait. */
    fun drop() {
        next = indices.size
    }
}
