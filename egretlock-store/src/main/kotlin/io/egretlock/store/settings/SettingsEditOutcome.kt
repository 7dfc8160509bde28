package io.egretlock.store.settings

import io.egretlock.core.settings.StoredTeamSettings

/** How an edit of a team's settings ended. */
sealed interface SettingsEditOutcome {
    /**
     * The settings are stored.
     *
     * @property stored what is in the store now: the edit, or a later edit that was made on top of it.
     */
    data class Accepted(
        val stored: StoredTeamSettings,
    ) : SettingsEditOutcome

    /** Nothing of the edit was stored, nor ever will be; [current] is what is there, null if nothing is. */
    data class Conflict(
        val current: StoredTeamSettings?,
    ) : SettingsEditOutcome

    /** The edit may have been stored, or may yet be; the store did not tell in time. */
    data class Unknown(
        val detail: String,
    ) : SettingsEditOutcome

    /** Nothing of the edit was stored, because the store could not be reached, or answers from an older state. */
    data class Unavailable(
        val detail: String,
    ) : SettingsEditOutcome
}
