package io.egretlock.core.run

import io.egretlock.core.job.JobId

/** Interface of an entry for the servers that receive callers' requests. */
interface StepJobService {
    /** Current configuration; null until one is known. */
    val configuration: QueueConfiguration?

    /** Whether new connections should be opened to this entry. */
    val isReady: Boolean

    /** Whether connections should be closed after their next answer, because this entry is shutting down. */
    val isDraining: Boolean

    /**
     * Submits a job and waits for its answer. If the job is active already, the call waits for the same answer.
     * Cancelling the call means that the caller has disconnected; the job is stopped when its last caller has.
     *
     * @param patienceMillis how long the caller waits for the answer; null if the caller set no limit.
     */
    suspend fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
    ): StepJobOutcome

    /** Returns whether any run of [job] was ordered; null if the job is not active, here or at another entry. */
    fun hasStarted(job: JobId): Boolean?

    /** Returns the number of jobs of [queue] that are active here and of which no run was ordered yet. */
    fun waitingCount(queue: String): Int

    /**
     * Cancels a job that is active here or at another entry; returns false if none is known. A job of another entry that
     * becomes known soon after is cancelled too.
     */
    fun cancel(job: JobId): Boolean
}
