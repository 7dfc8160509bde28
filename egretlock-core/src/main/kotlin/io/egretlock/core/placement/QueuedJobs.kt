package io.egretlock.core.placement

import io.egretlock.core.job.JobId
import java.util.TreeSet

/** Jobs of a dispatcher by id, and those with waiting tasks by deadline. */
internal class QueuedJobs {
    private val byId = HashMap<JobId, QueuedJob>()
    private val byDeadline = TreeSet(compareBy<QueuedJob> { it.deadlineAtMillis }.thenBy { it.job.id.value })
    private val expired = LinkedHashSet<JobId>()

    /** Adds a job that has waiting tasks. */
    fun add(job: QueuedJob) {
        byId[job.job.id] = job
        byDeadline.add(job)
    }

    /** Removes a job, even if all its tasks are placed, and returns it; null if it is unknown. */
    fun remove(id: JobId): QueuedJob? {
        expired.remove(id)
        val job = byId.remove(id) ?: return null
        byDeadline.remove(job)
        return job
    }

    /** Counts one waiting task of [job] as placed. */
    fun taskPlaced(job: QueuedJob) {
        job.waitingTasks--
        job.placedTasks++
        if (job.waitingTasks == 0) byDeadline.remove(job)
    }

    /** Removes and returns the jobs with waiting tasks past their deadline, and keeps their ids for [takeExpired]. */
    fun expire(nowMillis: Long): List<QueuedJob> {
        if (byDeadline.isEmpty() || byDeadline.first().deadlineAtMillis > nowMillis) return emptyList()
        val passed = byDeadline.takeWhile { it.deadlineAtMillis <= nowMillis }
        passed.forEach { job ->
            remove(job.job.id)
            expired += job.job.id
        }
        return passed
    }

    /** Returns the ids of the jobs that [expire] has removed since the last call. */
    fun takeExpired(): List<JobId> = expired.toList().also { expired.clear() }
}
