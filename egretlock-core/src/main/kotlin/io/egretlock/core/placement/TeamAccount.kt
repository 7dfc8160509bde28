package io.egretlock.core.placement

import io.egretlock.core.job.TeamName

/**
 * Limits of one team at one entry, and the number of its running tasks.
 *
 * @property weight share of contended slots, relative to the weights of other teams.
 * @property concurrency number of the team's tasks that this entry may have running at the same time.
 */
internal class TeamAccount(
    val team: TeamName,
) {
    var weight = 1.0
    var concurrency = Int.MAX_VALUE
    var running = 0

    /** Whether failures of the team's tasks count against the agent that ran them. */
    var countsForCircuitBreaker = true

    /** Number of tasks that may start now. */
    val remainingConcurrency: Int
        get() = (concurrency - running).coerceAtLeast(0)
}
