package io.egretlock.core.settings

import io.egretlock.core.job.TeamName
import java.util.concurrent.atomic.AtomicReference

/**
 * The settings in force in one process, by team. Settings are applied by revision, never a lower one, and each call
 * takes effect as a whole: a reader sees all of it or nothing. Safe for concurrent use.
 */
class SettingsTable {
    private val inForce = AtomicReference<Map<TeamName, StoredTeamSettings>>(emptyMap())

    /** Applies those of [offered] whose revision is higher than the one in force, and returns these. */
    fun apply(offered: List<StoredTeamSettings>): List<StoredTeamSettings> {
        while (true) {
            val before = inForce.get()
            val after = merge(before, offered)
            if (inForce.compareAndSet(before, after)) return (after.values - before.values.toSet()).toList()
        }
    }

    /** The settings of [team]; null if none were ever applied. */
    fun settingsOf(team: TeamName): StoredTeamSettings? = inForce.get()[team]

    /** All settings in force, at one moment, ordered by team. */
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
