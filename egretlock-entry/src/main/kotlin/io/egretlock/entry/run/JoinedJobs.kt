package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.StepJob

/** Jobs that callers of this entry wait for while another entry works on them, and the other way round. */
internal class JoinedJobs {
    private val atOwners = LinkedHashMap<JobId, JoinedJob>()
    private val joiners = HashMap<JobId, MutableSet<ProcessId>>()

    /** Number of jobs that other entries work on. */
    val size: Int
        get() = atOwners.size

    /** Jobs that other entries work on. */
    val all: List<JoinedJob>
        get() = atOwners.values.toList()

    /** Returns the job that another entry works on; null if there is none with this id. */
    operator fun get(job: JobId): JoinedJob? = atOwners[job]

    /** Adds a job that another entry works on. */
    fun add(job: JoinedJob) {
        atOwners[job.job.id] = job
    }

    /** Removes and returns a job that another entry works on. */
    fun remove(job: JobId): JoinedJob? = atOwners.remove(job)

    /** Records that callers of the entry [joiner] wait for the own [job]. */
    fun addJoiner(
        job: JobId,
        joiner: ProcessId,
    ) {
        joiners.getOrPut(job) { LinkedHashSet() } += joiner
    }

    /** Records that no caller of the entry [joiner] waits for the own [job] any more. */
    fun removeJoiner(
        job: JobId,
        joiner: ProcessId,
    ) {
        val remaining = joiners[job] ?: return
        remaining -= joiner
        if (remaining.isEmpty()) joiners -= job
    }

    /** Whether callers of another entry wait for the own [job]. */
    fun hasJoiners(job: JobId): Boolean = job in joiners

    /** Removes and returns the entries whose callers wait for the own [job]. */
    fun removeJoiners(job: JobId): Set<ProcessId> = joiners.remove(job).orEmpty()

    /** Removes the entries that are not in [reachable]; returns the own jobs that no entry waits for any more. */
    fun retainJoiners(reachable: Set<ProcessId>): List<JobId> {
        joiners.values.forEach { it.retainAll(reachable) }
        val left = joiners.filterValues { it.isEmpty() }.keys.toList()
        joiners -= left.toSet()
        return left
    }
}

/**
 * A job that another entry works on.
 *
 * @property giveUpAtMillis time after which the callers of this entry no longer wait; null if they set no limit.
 */
internal data class JoinedJob(
    val job: StepJob,
    val queue: JobQueue,
    val giveUpAtMillis: Long?,
)
