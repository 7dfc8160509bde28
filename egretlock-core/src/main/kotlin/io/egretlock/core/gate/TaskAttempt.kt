package io.egretlock.core.gate

import io.egretlock.core.job.TaskId
import kotlinx.serialization.Serializable

/** One placement of a task. A revoked task may be placed again with a higher [attempt] number. */
@Serializable
data class TaskAttempt(
    val task: TaskId,
    val attempt: Int,
)

/** State of an attempt as known to an agent. */
@Serializable
enum class AttemptState { RUNNING, FINISHED, NEVER_SEEN, REVOKED }

/** Pairs an attempt with its state at an agent. */
@Serializable
data class AttemptStatus(
    val attempt: TaskAttempt,
    val state: AttemptState,
)
