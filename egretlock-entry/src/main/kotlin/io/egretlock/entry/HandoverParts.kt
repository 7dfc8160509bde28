package io.egretlock.entry

import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.job.JobOutcome

/** Splits the claims of ended jobs into parts that each fit into one frame between two entries. */
internal object HandoverParts {
    private const val MAX_CLAIMS = 200
    private const val MAX_ANSWER_BYTES = 8L * 1_024 * 1_024

    /** Splits [claims] in order. A claim whose answers exceed the limit is a part of its own. */
    fun of(claims: List<ExportedClaim>): List<List<ExportedClaim>> {
        val parts = mutableListOf<MutableList<ExportedClaim>>()
        var bytes = 0L
        for (claim in claims) {
            val claimBytes = answerBytes(claim)
            val fits =
                bytes + claimBytes <= MAX_ANSWER_BYTES && (parts.lastOrNull()?.size ?: MAX_CLAIMS) < MAX_CLAIMS
            if (fits) parts.last() += claim else parts += mutableListOf(claim)
            bytes = if (fits) bytes + claimBytes else claimBytes
        }
        return parts
    }

    private fun answerBytes(claim: ExportedClaim): Long =
        when (val outcome = claim.claim.outcome) {
            is JobOutcome.Complete -> outcome.answers.sumOf { it.encodeToByteArray().size.toLong() }
            is JobOutcome.WithoutAnswer -> 0
        }
}
