package io.egretlock.store.settings

import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.SettingsCheck
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.store.StoreEntry
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject

/**
 * Stored value of one team: the settings as a JSON object that also has the write history under the key `write`. Keys
 * that this version does not know are ignored.
 *
 * @property write null if the value was not written by a [SettingsEditor].
 */
data class SettingsRecord(
    val settings: TeamSettings,
    val write: WriteHistory?,
) {
    /** Encodes the record as JSON text for the store. */
    fun encode(): String {
        val values = json.encodeToJsonElement(TeamSettings.serializer(), settings).jsonObject
        val writeField = json.encodeToJsonElement(WriteField.serializer(), WriteField(write)).jsonObject
        return JsonObject(values + writeField).toString()
    }

    @Serializable
    private data class WriteField(
        val write: WriteHistory? = null,
    )

    /** Functions for the keys and values of the store. */
    companion object {
        /** Prefix of all settings keys. */
        const val PREFIX = "/egretlock/settings/"

        private val json =
            Json {
                ignoreUnknownKeys = true
                encodeDefaults = true
            }

        /** Key of [team]'s settings. */
        fun keyOf(team: TeamName): String = PREFIX + team.value

        /** Decodes the value of [entry]; throws [SerializationException] if it has no valid settings of its team. */
        fun decode(entry: StoreEntry): SettingsRecord {
            val text = entry.value ?: throw SerializationException("Key '${entry.key}' is deleted.")
            val settings = json.decodeFromString<TeamSettings>(text)
            val faults = SettingsCheck.faultsOf(settings)
            if (keyOf(settings.team) != entry.key) throw SerializationException("The settings are of another team.")
            if (faults.isNotEmpty()) throw SerializationException(faults.joinToString(" "))
            return SettingsRecord(settings, json.decodeFromString<WriteField>(text).write)
        }

        /** The settings of [entry] with their revision; throws like [decode]. */
        fun decodeStoredSettings(entry: StoreEntry): StoredTeamSettings =
            StoredTeamSettings(entry.revision, decode(entry).settings)
    }
}

/**
 * Ids of a write and of the writes before it. If the answer to a write is lost, the writer can find out from them
 * whether the write took effect, even if later writes have replaced it.
 *
 * @property id unique for each edit, the same for its retries.
 * @property earlier the writes that this one replaced, latest first; at most [MAX_EARLIER_WRITES].
 */
@Serializable
data class WriteHistory(
    val id: String,
    val earlier: List<EarlierWrite> = emptyList(),
) {
    /** Whether [writeId] is the id of this write or of an earlier one. */
    fun contains(writeId: String): Boolean = id == writeId || earlier.any { it.id == writeId }

    /** Whether [earlier] contains all writes since the key was first written. */
    fun isComplete(): Boolean = earlier.size < MAX_EARLIER_WRITES && earlier.none { it.id.isEmpty() }

    /** Limits of a write history. */
    companion object {
        /** Number of earlier writes that a history keeps. */
        const val MAX_EARLIER_WRITES = 16
    }
}

/** An earlier write and the revision that it received; [id] is empty if it had no write history. */
@Serializable
data class EarlierWrite(
    val id: String,
    val revision: Long,
)
