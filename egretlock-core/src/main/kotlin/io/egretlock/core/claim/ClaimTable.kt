package io.egretlock.core.claim

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/**
 * Claims of the jobs that ended at a home, each retained for [retention] after the end of its job.
 *
 * Times are monotonic milliseconds. Not safe for concurrent use.
 */
class ClaimTable(
    private val retention: ClaimRetention = ClaimRetention(),
) {
    private val claims = hashMapOf<JobId, TimedClaim>()
    private val claimExpiries = ArrayDeque<Expiry>()
    private val answerExpiries = ArrayDeque<Expiry>()

    /** Number of retained claims. */
    val size: Int
        get() = claims.size

    /** Returns the claim of job [id], or null if there is none. */
    operator fun get(id: JobId): EndedClaim? = claims[id]?.claim

    /** Records the claim of a job that ended at [nowMillis]. */
    fun record(
        claim: EndedClaim,
        nowMillis: Long,
    ) = add(claim, nowMillis + retention.claimMillis, nowMillis)

    /** Removes answers and claims whose retention has passed. */
    fun expire(nowMillis: Long) {
        while (answerExpiries.isDue(nowMillis)) removeAnswers(answerExpiries.removeFirst().job)
        while (claimExpiries.isDue(nowMillis)) claims.remove(claimExpiries.removeFirst().job)
    }

    /** Returns all claims that have not expired, for handover to an heir. */
    fun export(nowMillis: Long): List<ExportedClaim> =
        claims.values.map { ExportedClaim(it.claim, it.expiresAtMillis - nowMillis) }.filter { it.remainingMillis > 0 }

    /** Adds claims of another home. Claims that are present already are kept unchanged. */
    fun import(
        imported: List<ExportedClaim>,
        nowMillis: Long,
    ) = imported
        .filter { it.claim.job !in claims }
        .sortedBy { it.remainingMillis }
        .forEach { add(it.claim, nowMillis + it.remainingMillis, nowMillis) }

    private fun add(
        claim: EndedClaim,
        expiresAtMillis: Long,
        nowMillis: Long,
    ) {
        claims[claim.job] = TimedClaim(claim, expiresAtMillis)
        claimExpiries.insert(Expiry(claim.job, expiresAtMillis))
        if (claim.outcome is JobOutcome.Complete) {
            answerExpiries.insert(Expiry(claim.job, nowMillis + retention.answerMillis))
        }
    }

    private fun removeAnswers(job: JobId) {
        claims.computeIfPresent(job) { _, timed -> timed.copy(claim = timed.claim.copy(outcome = ANSWERS_EXPIRED)) }
    }

    private fun ArrayDeque<Expiry>.isDue(nowMillis: Long): Boolean = isNotEmpty() && first().atMillis <= nowMillis

    /** Inserts in order of expiry, nearly always at the end, since later claims expire later. */
    private fun ArrayDeque<Expiry>.insert(expiry: Expiry) {
        var position = size
        while (position > 0 && this[position - 1].atMillis > expiry.atMillis) position--
        add(position, expiry)
    }

    private data class TimedClaim(
        val claim: EndedClaim,
        val expiresAtMillis: Long,
    )

    private data class Expiry(
        val job: JobId,
        val atMillis: Long,
    )

    private companion object {
        val ANSWERS_EXPIRED =
            JobOutcome.WithoutAnswer(
                Verdict.MayHaveRun(Reason.RETENTION, "The job was complete; its answers are no longer kept."),
            )
    }
}
