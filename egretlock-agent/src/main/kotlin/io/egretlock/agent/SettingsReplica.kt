package io.egretlock.agent

import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.protocol.SettingsRevision

/**
 * Settings of all teams that an agent holds, each at the highest revision received. Accessed only by the coroutine of
 * the [Agent].
 */
internal class SettingsReplica {
    private val byTeam = LinkedHashMap<TeamName, StoredTeamSettings>()

    val all: List<StoredTeamSettings>
        get() = byTeam.values.toList()

    /** Revision of each team's settings. */
    val revisions: List<SettingsRevision>
        get() = byTeam.map { (team, stored) -> SettingsRevision(team, stored.revision) }

    /** Applies those of [settings] with a higher revision than the one held; returns the revisions that changed. */
    fun apply(settings: List<StoredTeamSettings>): List<SettingsRevision> {
        val newer = settings.filter { it.revision > revisionOf(it.settings.team) }
        newer.forEach { stored ->
            if (stored.revision > revisionOf(stored.settings.team)) byTeam[stored.settings.team] = stored
        }
        return newer
            .map { it.settings.team }
            .distinct()
            .map { team -> SettingsRevision(team, revisionOf(team)) }
    }

    /** Settings held at a higher revision than in [known], the settings of another process. */
    fun newerThan(known: List<StoredTeamSettings>): List<StoredTeamSettings> {
        val knownRevisions = known.associate { it.settings.team to it.revision }
        return byTeam.values.filter { it.revision > (knownRevisions[it.settings.team] ?: NO_REVISION) }
    }

    private fun revisionOf(team: TeamName): Long = byTeam[team]?.revision ?: NO_REVISION

    private companion object {
        const val NO_REVISION = -1L
    }
}
