package io.egretlock.core.job

import kotlinx.serialization.Serializable

/**
 * A job as a client submitted it: its tasks are answered together or not at all.
 *
 * @property createdAtMillis creation time by the client's clock, in milliseconds since the epoch.
 * @property deadlineMillis time that the client allows for the whole job, in milliseconds from its arrival.
 */
@Serializable
data class Job(
    val id: JobId,
    val team: TeamName,
    val service: ServiceName,
    val createdAtMillis: Long,
    val deadlineMillis: Long,
    val tasks: List<TaskSpecification>,
) {
    /** Identities of all tasks, in order. */
    val taskIds: List<TaskId>
        get() = tasks.indices.map { index -> TaskId(id, index) }
}

/**
 * One task of a job.
 *
 * @property payload JSON text that is passed to the upstream unchanged.
 */
@Serializable
data class TaskSpecification(
    val operation: OperationName,
    val idempotent: Boolean,
    val payload: String,
    val declared: DeclaredNeeds = DeclaredNeeds(),
)

/**
 * Run time and resources that a client declares for a task. Declared run times are often far off; they only influence
 * the order of tasks, and only until run times have been learned.
 */
@Serializable
data class DeclaredNeeds(
    val runMillis: Long? = null,
    val processors: Double? = null,
    val memoryBytes: Long? = null,
    val accelerators: Int? = null,
)
