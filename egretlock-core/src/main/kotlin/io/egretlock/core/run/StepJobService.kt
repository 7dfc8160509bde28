package io.egretlock.core.run

import io.egretlock.core.job.JobId

/** What an entry offers those who bring callers' requests to it. */
interface StepJobService {
    /** Configuration in force; null until one is known. */
    val configuration: QueueConfiguration?

    /** Whether new connections should come to this entry. */
    val isReady: Boolean

    /** Whether connections should be closed after their next answer, because this entry leaves. */
    val isLeaving: Boolean

    /**
     * Submits a job and waits for its answer. A job that is submitted again is joined. Cancelling the call means that the
     * caller has left; the job ends when its last caller has.
     *
     * @param patienceMillis how long the caller waits; null if it does not say.
     */
    suspend fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
    ): StepJobOutcome

    /** Whether [job] is held here and has begun; null if it is not held. */
    fun hasStarted(job: JobId): Boolean?

    /** Number of jobs of [queue] that are held here and have not begun. */
    fun waiting(queue: String): Int

    /** Cancels a job that is held here; returns false if it is not. */
    fun cancel(job: JobId): Boolean
}
