package io.egretlock.entry

import io.egretlock.core.settings.SettingsFault
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Why settings were not accepted, as `application/problem+json` (RFC 9457).
 *
 * @property stored whether the edit is in the store.
 * @property faults every fault of settings that are not valid.
 * @property currentRevision revision in the store, if the edit was refused because of it; 0 if there are no settings.
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
    /** It is not, and never will be. */
    @SerialName("no")
    NO,

    /** It may be, or may yet get there. */
    @SerialName("unknown")
    UNKNOWN,
}

/** Answer to an edit that was accepted. */
@Serializable
data class SettingsAcceptedBody(
    val team: String,
    val revision: Long,
)
