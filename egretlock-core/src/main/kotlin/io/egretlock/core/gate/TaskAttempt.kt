package io.egretlock.core.gate

import io.egretlock.core.job.TaskId
import kotlinx.serialization.Serializable

/** One placement of a task. A task that was revoked may be placed again under a higher [attempt]. */
@Serializable
data class TaskAttempt(
    val task: TaskId,
    val attempt: Int,
)

/** What an agent knows of an attempt. */
@Serializable
enum class AttemptState { RUNNING, FINISHED, NEVER_SEEN, REVOKED }

/** State of one attempt at an agent. */
@Serializable
data class AttemptStatus(
    val attempt: TaskAttempt,
    val state: AttemptState,
)
