package io.egretlock.core.home

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import java.util.PriorityQueue

/** The jobs of a [Home] with the times at which each is overdue or may be forgotten, in monotonic milliseconds. */
internal class HomeJobs(
    private val retentionMillis: Long,
) {
    private val jobs = linkedMapOf<JobId, HomeJob>()
    private val deadlines = PriorityQueue<TimedJob>(compareBy { it.atMillis })
    private val expiries = ArrayDeque<TimedJob>()

    /** Jobs that have not ended. */
    var live: Int = 0
        private set

    /** Jobs that are known, ended ones included. */
    val known: Int
        get() = jobs.size

    operator fun get(id: JobId): HomeJob? = jobs[id]

    fun add(claimed: HomeJob) {
        jobs[claimed.job.id] = claimed
        deadlines += TimedJob(claimed.deadlineAtMillis, claimed.job.id)
        live++
    }

    fun ended(
        known: HomeJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        known.outcome = outcome
        live--
        expiries += TimedJob(nowMillis + retentionMillis, known.job.id)
    }

    fun liveIds(): List<JobId> = jobs.values.filter { it.outcome == null }.map { it.job.id }

    /** Takes the jobs whose deadline has passed and that have not ended. */
    fun takeOverdue(nowMillis: Long): List<HomeJob> {
        val overdue = mutableListOf<HomeJob>()
        while (deadlines.isNotEmpty() && deadlines.peek().atMillis <= nowMillis) {
            jobs[deadlines.remove().job]?.takeIf { it.outcome == null }?.let { overdue += it }
        }
        return overdue
    }

    fun forgetExpired(nowMillis: Long) {
        while (expiries.isNotEmpty() && expiries.first().atMillis <= nowMillis) {
            jobs.remove(expiries.removeFirst().job)
        }
    }

    private data class TimedJob(
        val atMillis: Long,
        val job: JobId,
    )
}
