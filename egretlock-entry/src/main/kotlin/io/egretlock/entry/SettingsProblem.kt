package io.egretlock.entry

import io.egretlock.core.settings.SettingsFault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Response body for settings that cannot be read or edited, as `application/problem+json` (RFC 9457).
 *
 * @property stored whether the edit is in the store.
 * @property faults all faults of invalid settings.
 * @property currentRevision revision in the store, if the edit conflicts with it; 0 if there are no settings.
 */
@Serializable
data class SettingsProblem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val stored: StoredState = StoredState.NO,
    val faults: List<SettingsFault> = emptyList(),
    val currentRevision: Long? = null,
)

/** Whether an edit is in the store. */
@Serializable
enum class StoredState {
    /** The edit is not in the store and never will be. */
    @SerialName("no")
    NO,

    /** The edit may be in the store or may still reach it. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Response body for an accepted edit. */
@Serializable
data class SettingsAcceptedBody(
    val team: String,
    val revision: Long,
)
