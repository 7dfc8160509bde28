package io.egretlock.core.home

import io.egretlock.core.claim.ClaimRetention
import io.egretlock.core.claim.ClaimTable
import io.egretlock.core.claim.EndedClaim
import io.egretlock.core.claim.HandedClaim
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import java.util.PriorityQueue

/**
 * The jobs of a [Home]: those that have not ended or still have a task at an agent, and the claims of the ended ones.
 * Times are monotonic milliseconds.
 */
internal class HomeJobs(
    retention: ClaimRetention,
) {
    private val jobs = linkedMapOf<JobId, HomeJob>()
    private val claims = ClaimTable(retention)
    private val deadlines = PriorityQueue<Deadline>(compareBy { it.atMillis })

    /** Jobs that have not ended. */
    var live: Int = 0
        private set

    /** Ended jobs that are remembered. */
    val remembered: Int
        get() = claims.size

    /** A job that has not ended, or that still has a task at an agent. */
    operator fun get(id: JobId): HomeJob? = jobs[id]

    /** The claim of an ended job. */
    fun ended(id: JobId): EndedClaim? = claims[id]

    fun add(claimed: HomeJob) {
        jobs[claimed.job.id] = claimed
        deadlines += Deadline(claimed.deadlineAtMillis, claimed.job.id)
        live++
    }

    /** Records how a job ended; only its claim is kept once no agent has a task of it. */
    fun end(
        known: HomeJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        known.outcome = outcome
        live--
        claims.record(EndedClaim(known.job.id, known.digest, outcome), nowMillis)
        forgetIfSettled(known)
    }

    /** Forgets an ended job, but for its claim, once no agent has a task of it. */
    fun forgetIfSettled(known: HomeJob) {
        if (known.outcome != null && !known.hasPlacedTasks) jobs.remove(known.job.id)
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

    fun expire(nowMillis: Long) = claims.expire(nowMillis)

    fun exportClaims(nowMillis: Long): List<HandedClaim> = claims.export(nowMillis)

    fun importClaims(
        handed: List<HandedClaim>,
        nowMillis: Long,
    ) = claims.import(handed.filter { it.claim.job !in jobs }, nowMillis)

    private data class Deadline(
        val atMillis: Long,
        val job: JobId,
    )
}
