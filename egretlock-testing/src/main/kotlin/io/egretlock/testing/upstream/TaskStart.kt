package io.egretlock.testing.upstream

import kotlinx.serialization.Serializable

/**
 * One start of a task as an upstream saw it.
 *
 * @property task identity of the task, `job:index`.
 * @property startedAtMillis wall-clock time in milliseconds since the epoch.
 */
@Serializable
data class TaskStart(
    val task: String,
    val operation: String,
    val startedAtMillis: Long,
)
