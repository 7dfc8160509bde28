package io.egretlock.core.claim

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/**
 * The ended jobs of a home, each remembered for the [retention] after its end.
 *
 * Times are monotonic milliseconds. Not safe for concurrent use.
 */
class ClaimTable(
    private val retention: ClaimRetention = ClaimRetention(),
) {
    private val claims = hashMapOf<JobId, TimedClaim>()
    private val claimExpiries = ArrayDeque<Expiry>()
    private val answerExpiries = ArrayDeque<Expiry>()

    /** Claims that are remembered. */
    val size: Int
        get() = claims.size

    /** The claim on [id]; null if there is none. */
    operator fun get(id: JobId): EndedClaim? = claims[id]?.claim

    /** Remembers a job that ended now. */
    fun record(
        claim: EndedClaim,
        nowMillis: Long,
    ) = add(claim, nowMillis + retention.claimMillis, nowMillis)

    /** Forgets answers and claims whose retention has passed. */
    fun expire(nowMillis: Long) {
        while (answerExpiries.isDue(nowMillis)) dropAnswers(answerExpiries.removeFirst().job)
        while (claimExpiries.isDue(nowMillis)) claims.remove(claimExpiries.removeFirst().job)
    }

    /** All claims, for an heir. */
    fun export(nowMillis: Long): List<HandedClaim> =
        claims.values.map { HandedClaim(it.claim, it.expiresAtMillis - nowMillis) }.filter { it.remainingMillis > 0 }

    /** Takes over claims of another home. A claim that is known already stays as it is. */
    fun import(
        handed: List<HandedClaim>,
        nowMillis: Long,
    ) = handed
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

    private fun dropAnswers(job: JobId) {
        claims.computeIfPresent(job) { _, timed -> timed.copy(claim = timed.claim.copy(outcome = ANSWERS_DROPPED)) }
    }

    private fun ArrayDeque<Expiry>.isDue(nowMillis: Long): Boolean = isNotEmpty() && first().atMillis <= nowMillis

    /** Keeps the queue in order of time; nearly always at its end, as later claims expire later. */
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
        val ANSWERS_DROPPED =
            JobOutcome.WithoutAnswer(
                Verdict.MayHaveRun(Reason.RETENTION, "The job was complete; its answers are no longer kept."),
            )
    }
}
