package io.egretlock.testing.upstream

import kotlinx.serialization.Serializable

/**
 * Start of a task as recorded by an upstream.
 *
 * @property task identity of the task, `job:index`.
 * @property startedAtMillis wall-clock time of the start, in milliseconds since the epoch.
 */
@Serializable
data class TaskStart(
    val task: String,
    val operation: String,
    val startedAtMillis: Long,
)
