package io.egretlock.core.placement

import io.egretlock.core.job.TeamName

/**
 * Limits of one team at one entry, and what the team uses of them.
 *
 * @property weight share of contended slots relative to other teams.
 * @property concurrency tasks of the team that may run at once from this entry.
 */
internal class TeamAccount(
    val team: TeamName,
) {
    var weight = 1.0
    var concurrency = Int.MAX_VALUE
    var running = 0

    /** Whether failures of the team's tasks count against the agent that ran them. */
    var countsForGuard = true

    /** Tasks that may start now. */
    val room: Int
        get() = (concurrency - running).coerceAtLeast(0)
}
