package io.egretlock.entry

import io.egretlock.core.claim.HandedClaim
import io.egretlock.core.job.JobOutcome

/** Cuts the claims of ended jobs into parts, each of which fits into a frame between two entries. */
internal object HandoverParts {
    private const val MOST_CLAIMS = 200
    private const val MOST_ANSWER_BYTES = 8L * 1_024 * 1_024

    /** The [claims] in order. A claim with larger answers is a part of its own. */
    fun of(claims: List<HandedClaim>): List<List<HandedClaim>> {
        val parts = mutableListOf<MutableList<HandedClaim>>()
        var bytes = 0L
        for (claim in claims) {
            val claimBytes = answerBytes(claim)
            val fits =
                bytes + claimBytes <= MOST_ANSWER_BYTES && (parts.lastOrNull()?.size ?: MOST_CLAIMS) < MOST_CLAIMS
            if (fits) parts.last() += claim else parts += mutableListOf(claim)
            bytes = if (fits) bytes + claimBytes else claimBytes
        }
        return parts
    }

    private fun answerBytes(claim: HandedClaim): Long =
        when (val outcome = claim.claim.outcome) {
            is JobOutcome.Complete -> outcome.answers.sumOf { it.encodeToByteArray().size.toLong() }
            is JobOutcome.WithoutAnswer -> 0
        }
}
