package io.egretlock.core.claim

/**
 * Retention of ended jobs.
 *
 * @property claimMillis time after a job's end for which its claim is retained. Ids created longer ago than this, less
 * the largest clock difference, must be refused before they reach the home, since their claims may have expired.
 * @property answerMillis time after a job's end for which its answers are retained.
 */
data class ClaimRetention(
    val claimMillis: Long = 900_000,
    val answerMillis: Long = 120_000,
)
