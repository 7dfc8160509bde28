package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.TaskSpecification

/** A job that a dispatcher has admitted and that still has waiting or placed tasks. */
internal class QueuedJob(
    val job: Job,
    val deadlineAtMillis: Long,
) {
    /** Batches of the job's tasks that wait in a queue. */
    val batches = ArrayList<TaskBatch>(1)
    var waitingTasks = 0
    var placedTasks = 0
    var isWithdrawn = false

    /** Adds a batch of waiting tasks. */
    fun add(batch: TaskBatch) {
        batches.removeIf { it.remaining == 0 }
        batches.add(batch)
        waitingTasks += batch.remaining
    }
}

/**
 * Batch of waiting tasks that belong to one job and one class.
 *
 * @property workMillis expected work of each task, in milliseconds on an agent of slowness 1.
 */
internal class TaskBatch(
    val owner: QueuedJob,
    private val indices: IntArray,
    val workMillis: Double,
    val taskClass: TaskClass,
) {
    private var next = 0

    /** Number of tasks that still wait; 0 after [drop]. */
    val remaining: Int
        get() = indices.size - next

    /** Specification of the next task. */
    val nextSpecification: TaskSpecification
        get() = owner.job.tasks[indices[next]]

    /** Removes the next task and returns its index in the job. */
    fun take(): Int = indices[next++]

    /** Drops the tasks that still wait. */
    fun drop() {
        next = indices.size
    }
}
