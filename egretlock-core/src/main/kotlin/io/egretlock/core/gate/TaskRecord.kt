package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskOutcome

/** Record that a [StartGate] retains of one task. */
internal sealed interface TaskRecord {
    /** Highest attempt of the task that the record covers. */
    val attempt: Int

    /** Monotonic time in milliseconds at which the record got its present state; null while the task runs. */
    val endedAtMillis: Long?

    /** The task was sent to the upstream and has not ended. */
    data class Running(
        override val attempt: Int,
        val owner: ProcessId,
    ) : TaskRecord {
        override val endedAtMillis: Long? = null
    }

    /** The task ended, and the owning entry has not acknowledged the answer. */
    data class Finished(
        override val attempt: Int,
        val answer: OwnedAnswer,
        override val endedAtMillis: Long,
    ) : TaskRecord

    /** The task was started, and its answer is no longer kept. */
    data class AnswerDropped(
        override val attempt: Int,
        override val endedAtMillis: Long,
    ) : TaskRecord

    /** No attempt up to [attempt] has started or will ever start. */
    data class Revoked(
        override val attempt: Int,
        override val endedAtMillis: Long,
    ) : TaskRecord
}

/**
 * Outcome of a task that is kept until its owner acknowledges it.
 *
 * @property owner entry that receives the answer.
 * @property runMillis time from the call to the upstream until its answer arrived.
 */
data class OwnedAnswer(
    val attempt: TaskAttempt,
    val owner: ProcessId,
    val outcome: TaskOutcome,
    val runMillis: Long,
)
