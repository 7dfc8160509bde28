package io.egretlock.core.claim

/**
 * How long an ended job is remembered.
 *
 * @property claimMillis time for which its id is remembered. Ids created longer ago than this, less the largest clock
 * difference, must be refused before they reach the home, since it may have forgotten them.
 * @property answerMillis time for which its answers are kept as well.
 */
data class ClaimRetention(
    val claimMillis: Long = 900_000,
    val answerMillis: Long = 120_000,
)
