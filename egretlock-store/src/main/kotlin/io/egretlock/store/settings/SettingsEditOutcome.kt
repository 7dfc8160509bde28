package io.egretlock.store.settings

import io.egretlock.core.settings.StoredTeamSettings

/** Outcome of an edit of a team's settings. */
sealed interface SettingsEditOutcome {
    /**
     * The settings are stored.
     *
     * @property stored settings now in the store: those of this edit, or of a later edit that replaced them.
     */
    data class Accepted(
        val stored: StoredTeamSettings,
    ) : SettingsEditOutcome

    /** The edit was not stored and never will be; [current] is what the store holds, null if it holds nothing. */
    data class Conflict(
        val current: StoredTeamSettings?,
    ) : SettingsEditOutcome

    /** The edit may have been stored, or may be stored later; the store did not answer in time or conclusively. */
    data class Unknown(
        val detail: String,
    ) : SettingsEditOutcome

    /** The edit was not stored, because the store was unreachable or answered from an older state. */
    data class Unavailable(
        val detail: String,
    ) : SettingsEditOutcome
}
