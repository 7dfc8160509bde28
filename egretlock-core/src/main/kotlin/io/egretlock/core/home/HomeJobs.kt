package io.egretlock.core.home

import io.egretlock.core.claim.ClaimRetention
import io.egretlock.core.claim.ClaimTable
import io.egretlock.core.claim.EndedClaim
import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import java.util.PriorityQueue

/**
 * Jobs of a [Home] that have not ended or have a task placed on an agent, and the claims of ended jobs. Times are
 * monotonic milliseconds.
 */
internal class HomeJobs(
    retention: ClaimRetention,
) {
    private val jobs = linkedMapOf<JobId, HomeJob>()
    private val claims = ClaimTable(retention)
    private val deadlines = PriorityQueue<Deadline>(compareBy { it.atMillis })

    /** Number of jobs that have not ended. */
    var live: Int = 0
        private set

    /** Number of retained claims of ended jobs. */
    val remembered: Int
        get() = claims.size

    /** Returns the job [id] if it has not ended or has a task placed on an agent, otherwise null. */
    operator fun get(id: JobId): HomeJob? = jobs[id]

    /** Returns the claim of the ended job [id], or null if there is none. */
    fun endedClaim(id: JobId): EndedClaim? = claims[id]

    fun add(homeJob: HomeJob) {
        jobs[homeJob.job.id] = homeJob
        deadlines += Deadline(homeJob.deadlineAtMillis, homeJob.job.id)
        live++
    }

    /** Records the outcome of a job. Only the claim is kept once none of its tasks is placed on an agent. */
    fun end(
        homeJob: HomeJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        homeJob.outcome = outcome
        live--
        claims.record(EndedClaim(homeJob.job.id, homeJob.digest, outcome), nowMillis)
        removeIfInactive(homeJob)
    }

    /** Removes the job, but not its claim, if it has ended and none of its tasks is placed on an agent. */
    fun removeIfInactive(homeJob: HomeJob) {
        if (homeJob.outcome != null && !homeJob.hasPlacedTasks) jobs.remove(homeJob.job.id)
    }

    fun liveIds(): List<JobId> = jobs.values.filter { it.outcome == null }.map { it.job.id }

    /** Returns the jobs whose deadline has passed and that have not ended, each of them once. */
    fun takeOverdue(nowMillis: Long): List<HomeJob> {
        val overdue = mutableListOf<HomeJob>()
        while (deadlines.isNotEmpty() && deadlines.peek().atMillis <= nowMillis) {
            jobs[deadlines.remove().job]?.takeIf { it.outcome == null }?.let { overdue += it }
        }
        return overdue
    }

    fun expire(nowMillis: Long) = claims.expire(nowMillis)

    fun exportClaims(nowMillis: Long): List<ExportedClaim> = claims.export(nowMillis)

    fun importClaims(
        imported: List<ExportedClaim>,
        nowMillis: Long,
    ) = claims.import(imported.filter { it.claim.job !in jobs }, nowMillis)

    private data class Deadline(
        val atMillis: Long,
        val job: JobId,
    )
}
