package io.egretlock.core.home

import io.egretlock.core.claim.ClaimRetention

/**
 * Limits of a [Home] that do not belong to a team.
 *
 * @property agentGraceMillis time that an agent may stay unconnected before its started tasks are given up.
 * @property retention how long ended jobs are remembered for resubmissions.
 * @property retryAfterMillis when to come back after a refusal for a cause that passes by itself.
 */
data class HomeLimits(
    val agentGraceMillis: Long = 5_000,
    val retention: ClaimRetention = ClaimRetention(),
    val retryAfterMillis: Long = 1_000,
)
