package io.egretlock.core.settings

import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.charleskorn.kaml.YamlNode
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import io.egretlock.core.job.TeamName
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

/** Text formats in which operators write settings. */
enum class SettingsFormat { YAML, JSON }

/**
 * Reads and writes settings in the formats that operators use. Reading is strict and reports every fault with its path
 * and location: unknown or repeated keys, values of another type or unit, limits out of range, references to missing
 * services.
 */
object SettingsText {
    private const val YAML_ALLOWED = "well-formed YAML"
    private const val JSON_ALLOWED = "well-formed JSON"

    private val writer = Json { encodeDefaults = true }

    /** Reads the settings of [team]; settings of another team are a fault. */
    fun read(
        text: String,
        format: SettingsFormat,
        team: TeamName,
    ): Result<TeamSettings, List<SettingsFault>> {
        val syntaxFault = if (format == SettingsFormat.JSON) jsonFault(text) else null
        if (syntaxFault != null) return Err(listOf(syntaxFault))
        return try {
            val yamlText = withoutTabs(text, format)
            validate(Yaml.default.parseToYamlNode(yamlText), SettingsSource(yamlText), team)
        } catch (failure: YamlException) {
            Err(listOf(yamlFault(failure)))
        }
    }

    /** The settings as JSON, all defaults included. */
    fun toJson(settings: TeamSettings): String = writer.encodeToString(settings)

    /** The settings as YAML, all defaults included. */
    fun toYaml(settings: TeamSettings): String = Yaml.default.encodeToString(TeamSettings.serializer(), settings)

    private fun validate(
        root: YamlNode,
        source: SettingsSource,
        team: TeamName,
    ): Result<TeamSettings, List<SettingsFault>> {
        val reader = SettingsTreeReader(source)
        val settings = reader.read(root)
        val unreadablePaths = reader.faults.map { it.path }.toSet()
        val outOfRange =
            (
                teamFaults(
                    settings,
                    team,
                ) + SettingsCheck.faultsOf(settings)
            ).filter { it.path !in unreadablePaths }
        val faults = reader.faults + outOfRange.map(reader::withLocation)
        return if (faults.isEmpty()) Ok(settings) else Err(faults)
    }

    private fun teamFaults(
        settings: TeamSettings,
        team: TeamName,
    ): List<SettingsFault> =
        if (settings.team == team) {
            emptyList()
        } else {
            listOf(SettingsFault("team", settings.team.value, "'$team', the team whose settings are edited"))
        }

    /** Replaces tabs in JSON by blanks, which makes it valid YAML. JSON strings can't contain unescaped tabs. */
    private fun withoutTabs(
        text: String,
        format: SettingsFormat,
    ): String = if (format == SettingsFormat.JSON) text.replace('\t', ' ') else text

    private fun jsonFault(text: String): SettingsFault? =
        try {
            Json.parseToJsonElement(text)
            null
        } catch (failure: SerializationException) {
            SettingsFault(path = "", value = failure.message?.lineSequence()?.first(), allowed = JSON_ALLOWED)
        }

    private fun yamlFault(failure: YamlException): SettingsFault =
        SettingsFault(
            path = "",
            value = failure.message.lineSequence().first(),
            allowed = YAML_ALLOWED,
            location = TextLocation(failure.line, failure.column),
        )
}
