package io.egretlock.core.home

import io.egretlock.core.claim.ClaimRetention

/**
 * Limits of a [Home] that are not settings of a team.
 *
 * @property agentGraceMillis time for which an agent may stay disconnected before it and its started tasks are
 * presumed lost.
 * @property retention retention of the claims of ended jobs, which resubmissions join.
 * @property retryAfterMillis delay before a retry after a refusal for a transient cause.
 */
data class HomeLimits(
    val agentGraceMillis: Long = 5_000,
    val retention: ClaimRetention = ClaimRetention(),
    val retryAfterMillis: Long = 1_000,
)
