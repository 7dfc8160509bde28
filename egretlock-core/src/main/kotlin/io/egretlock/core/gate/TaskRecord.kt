package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskOutcome

/** What a [StartGate] remembers of one task. */
internal sealed interface TaskRecord {
    /** Highest attempt that the record speaks of. */
    val attempt: Int

    /** Monotonic time at which the record got its present state; null while the task runs. */
    val endedAtMillis: Long?

    /** The task was handed to the upstream and has not ended. */
    data class Running(
        override val attempt: Int,
        val owner: ProcessId,
    ) : TaskRecord {
        override val endedAtMillis: Long? = null
    }

    /** The task ended and its entry has not acknowledged the answer. */
    data class Finished(
        override val attempt: Int,
        val answer: KeptAnswer,
        override val endedAtMillis: Long,
    ) : TaskRecord

    /** The task was started; its answer is no longer kept. */
    data class Settled(
        override val attempt: Int,
        override val endedAtMillis: Long,
    ) : TaskRecord

    /** No attempt up to [attempt] has started or ever will. */
    data class Revoked(
        override val attempt: Int,
        override val endedAtMillis: Long,
    ) : TaskRecord
}

/**
 * An answer that waits for its entry's acknowledgement.
 *
 * @property owner the entry that the answer is for.
 * @property runMillis time from the call to the upstream until its answer.
 */
data class KeptAnswer(
    val attempt: TaskAttempt,
    val owner: ProcessId,
    val outcome: TaskOutcome,
    val runMillis: Long,
)
