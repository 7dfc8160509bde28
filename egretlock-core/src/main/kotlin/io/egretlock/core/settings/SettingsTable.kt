package io.egretlock.core.settings

import io.egretlock.core.job.TeamName
import java.util.concurrent.atomic.AtomicReference

/**
 * The settings in force in one process, by team. The revision of a team's settings never goes down. Each call of
 * [apply] is atomic: a reader sees all of its changes or none. Safe for concurrent use.
 */
class SettingsTable {
    private val inForce = AtomicReference<Map<TeamName, StoredTeamSettings>>(emptyMap())

    /** Applies and returns those of [offered] whose revision is higher than the one in force for their team. */
    fun apply(offered: List<StoredTeamSettings>): List<StoredTeamSettings> {
        while (true) {
            val before = inForce.get()
            val after = merge(before, offered)
            if (inForce.compareAndSet(before, after)) return (after.values - before.values.toSet()).toList()
        }
    }

    /** The settings of [team]; null if none have been applied. */
    fun settingsOf(team: TeamName): StoredTeamSettings? = inForce.get()[team]

    /** Snapshot of all settings in force, ordered by team. */
    fun all(): List<StoredTeamSettings> = inForce.get().values.sortedBy { it.settings.team.value }

    /** The highest revision of any team; 0 if there are no settings. */
    fun highestRevision(): Long = inForce.get().values.maxOfOrNull { it.revision } ?: 0

    private fun merge(
        before: Map<TeamName, StoredTeamSettings>,
        offered: List<StoredTeamSettings>,
    ): Map<TeamName, StoredTeamSettings> {
        val after = before.toMutableMap()
        offered.forEach { stored ->
            val known = after[stored.settings.team]?.revision ?: 0
            if (stored.revision > known) after[stored.settings.team] = stored
        }
        return after
    }
}
