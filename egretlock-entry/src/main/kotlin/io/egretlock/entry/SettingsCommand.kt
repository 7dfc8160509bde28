package io.egretlock.entry

import com.github.michaelbull.result.fold
import io.egretlock.core.job.TeamName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.SettingsFormat
import io.egretlock.core.settings.SettingsText
import io.egretlock.process.CommandLine
import io.egretlock.process.EXIT_FAILURE
import io.egretlock.process.EXIT_USAGE
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.File
import java.io.IOException
import java.util.concurrent.TimeUnit

/**
 * The commands `settings get` and `settings put`, with which operators read and edit their team's settings at an entry.
 * The file is validated before it is sent.
 */
internal class SettingsCommand(
    private val commandLine: CommandLine,
) {
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .callTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            .build()

    /** Runs the subcommand that [arguments] begin with. */
    fun run(arguments: List<String>) {
        val flags = arguments.drop(1)
        when (arguments.firstOrNull()) {
            "get" -> get(commandLine.readSettings("settings get", flags, TARGET_SETTINGS, ::target))
            "put" -> put(commandLine.readSettings("settings put", flags, EDIT_SETTINGS, ::edit))
            else -> commandLine.fail(EXIT_USAGE, listOf("Usage: egretlock-entry settings get|put [FLAGS]"))
        }
    }

    private fun get(target: Target) =
        call(request(target).header("Accept", YAML_TYPE).get().build()) { response ->
            println("# revision ${revisionOf(response)}")
            print(response.body.string().trimEnd() + "\n")
        }

    private fun put(edit: Edit) {
        SettingsText.read(edit.text, SettingsFormat.YAML, edit.target.team).fold(
            success = { send(edit) },
            failure = { faults -> commandLine.fail(EXIT_USAGE, faults.map { it.toString() }) },
        )
    }

    private fun send(edit: Edit) {
        val body = edit.text.toRequestBody(YAML_TYPE.toMediaType())
        val request = request(edit.target).header("If-Match", "\"${edit.revision}\"").put(body)
        call(request.build()) { response -> println("accepted at revision ${revisionOf(response)}") }
    }

    private fun request(target: Target): Request.Builder =
        Request
            .Builder()
            .url("http://${target.entry}/v1/teams/${target.team}/settings")
            .header("Authorization", "Bearer ${target.token}")

    private fun call(
        request: Request,
        success: (Response) -> Unit,
    ) {
        try {
            client.newCall(request).execute().use { response ->
                if (!response.isSuccessful) commandLine.fail(EXIT_FAILURE, refusal(response))
                success(response)
            }
        } catch (failure: IOException) {
            val unknown = if (request.method == "PUT") " The edit may be stored; read the settings again." else ""
            commandLine.fail(EXIT_FAILURE, listOf("No answer from ${request.url}: ${failure.message}.$unknown"))
        }
    }

    private fun refusal(response: Response): List<String> =
        listOf("Status ${response.code}, present revision ${revisionOf(response)}:", response.body.string())

    private fun revisionOf(response: Response): String = response.header("ETag")?.trim('"') ?: "unknown"

    private data class Target(
        val entry: NodeAddress,
        val team: TeamName,
        val token: String,
    )

    private data class Edit(
        val target: Target,
        val revision: Long,
        val text: String,
    )

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 10L
        const val YAML_TYPE = "application/yaml"
        val REVISIONS = 0L..Long.MAX_VALUE
        val TEAM = Setting("team", "Team whose settings are read or edited.")
        val TOKEN = Setting("team-token", "Token of the team's operators.", secret = true)
        val FILE = Setting("file", "YAML file with the team's settings.")
        val REVISION = Setting("revision", "Revision that is replaced, as `settings get` shows it; 0 for a new team.")
        val TARGET_SETTINGS = EntrySettings.INSPECTION.take(1) + listOf(TEAM, TOKEN)
        val EDIT_SETTINGS = TARGET_SETTINGS + listOf(FILE, REVISION)

        fun target(reader: SettingReader): Target =
            Target(
                entry = EntrySettings.operatorsAddress(reader),
                team = TeamName(reader.name(TEAM)),
                token = reader.read(TOKEN, "the token of the team", "") { text -> text.takeIf { it.isNotBlank() } },
            )

        fun edit(reader: SettingReader): Edit =
            Edit(
                target = target(reader),
                revision = reader.number(REVISION, REVISIONS),
                text = reader.read(FILE, "the path of a readable file", "", ::readFile),
            )

        fun readFile(path: String): String? =
            try {
                File(path).readText()
            } catch (_: IOException) {
                null
            }
    }
}
