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
 * What the store holds for one team: the settings as a JSON object, with the mark of the write beside them under the
 * key `write`. Keys that this version does not know are ignored.
 *
 * @property write null where something else than a [SettingsEditor] wrote the value.
 */
data class SettingsRecord(
    val settings: TeamSettings,
    val write: WriteMark?,
) {
    /** JSON text for the store. */
    fun encode(): String {
        val values = json.encodeToJsonElement(TeamSettings.serializer(), settings).jsonObject
        val mark = json.encodeToJsonElement(Mark.serializer(), Mark(write)).jsonObject
        return JsonObject(values + mark).toString()
    }

    @Serializable
    private data class Mark(
        val write: WriteMark? = null,
    )

    /** Keys of the store and the reading of values. */
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

        /** Reads the value of [entry]; throws [SerializationException] if it holds no valid settings of its team. */
        fun decode(entry: StoreEntry): SettingsRecord {
            val text = entry.value ?: throw SerializationException("Key '${entry.key}' is deleted.")
            val settings = json.decodeFromString<TeamSettings>(text)
            val faults = SettingsCheck.faultsOf(settings)
            if (keyOf(settings.team) != entry.key) throw SerializationException("The settings are of another team.")
            if (faults.isNotEmpty()) throw SerializationException(faults.joinToString(" "))
            return SettingsRecord(settings, json.decodeFromString<Mark>(text).write)
        }

        /** The settings of [entry] with their revision; throws like [decode]. */
        fun storedSettings(entry: StoreEntry): StoredTeamSettings =
            StoredTeamSettings(entry.revision, decode(entry).settings)
    }
}

/**
 * Identifies a write and those before it, so that a writer whose answer was lost finds out whether its write happened
 * even after others wrote on top of it.
 *
 * @property id unique for each edit, the same for its repetitions.
 * @property earlier the writes that this one replaced, latest first; at most [LONGEST_HISTORY].
 */
@Serializable
data class WriteMark(
    val id: String,
    val earlier: List<EarlierWrite> = emptyList(),
) {
    /** Whether the write [writeId] is this one or among the earlier ones. */
    fun covers(writeId: String): Boolean = id == writeId || earlier.any { it.id == writeId }

    /** Whether [earlier] has every write since the key was first written. */
    fun reachesBackToFirst(): Boolean = earlier.size < LONGEST_HISTORY && earlier.none { it.id.isEmpty() }

    /** Limits of a mark. */
    companion object {
        /** Number of earlier writes that a mark remembers. */
        const val LONGEST_HISTORY = 16
    }
}

/** An earlier write and the revision that it got; [id] is empty if it had no mark. */
@Serializable
data class EarlierWrite(
    val id: String,
    val revision: Long,
)
