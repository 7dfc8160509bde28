package io.egretlock.core.job

import kotlinx.serialization.Serializable

/**
 * A job as a caller submitted it: tasks that are answered together or not at all.
 *
 * @property createdAtMillis creation time by the client's clock, in milliseconds since the epoch.
 * @property deadlineMillis time that the caller allows for the whole job, in milliseconds from its arrival.
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
 * @property payload JSON text that is handed to the upstream unchanged.
 */
@Serializable
data class TaskSpecification(
    val operation: OperationName,
    val idempotent: Boolean,
    val payload: String,
    val declared: DeclaredNeeds = DeclaredNeeds(),
)

/** What a client declares about a task. Run times are often far off and only break ties until learned ones exist. */
@Serializable
data class DeclaredNeeds(
    val runMillis: Long? = null,
    val processors: Double? = null,
    val memoryBytes: Long? = null,
    val accelerators: Int? = null,
)
