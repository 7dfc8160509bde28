package io.egretlock.core.placement

import io.egretlock.core.job.JobId
import java.util.TreeSet

/** Jobs with tasks that wait, by deadline. */
internal class WaitingJobs {
    private val byId = HashMap<JobId, QueuedJob>()
    private val byDeadline = TreeSet(compareBy<QueuedJob> { it.deadlineAtMillis }.thenBy { it.job.id.value })
    private val expired = LinkedHashSet<JobId>()

    /** Adds a job that has waiting tasks. */
    fun add(job: QueuedJob) {
        byId[job.job.id] = job
        byDeadline.add(job)
    }

    /** Removes a job that is withdrawn, also if all its tasks are placed; null if it is unknown. */
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

    /** Removes and returns the jobs whose deadline has passed, and keeps their ids for [takeExpired]. */
    fun expire(nowMillis: Long): List<QueuedJob> {
        if (byDeadline.isEmpty() || byDeadline.first().deadlineAtMillis > nowMillis) return emptyList()
        val passed = byDeadline.takeWhile { it.deadlineAtMillis <= nowMillis }
        passed.forEach { job ->
            remove(job.job.id)
            expired += job.job.id
        }
        return passed
    }

    /** Ids of all jobs that [expire] removed since the last call. */
    fun takeExpired(): List<JobId> = expired.toList().also { expired.clear() }
}
