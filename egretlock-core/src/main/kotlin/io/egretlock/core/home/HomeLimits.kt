package io.egretlock.core.home

/**
 * Limits of a [Home] that do not belong to a team.
 *
 * @property agentGraceMillis time that an agent may stay unconnected before its started tasks are given up.
 * @property retentionMillis time for which the outcome of an ended job is kept for resubmissions.
 * @property retryAfterMillis when to come back after a refusal for a cause that passes by itself.
 */
data class HomeLimits(
    val agentGraceMillis: Long = 5_000,
    val retentionMillis: Long = 900_000,
    val retryAfterMillis: Long = 1_000,
)
