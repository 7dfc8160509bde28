package io.egretlock.entry

import com.github.michaelbull.result.fold
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.SettingsFault
import io.egretlock.core.settings.SettingsFormat
import io.egretlock.core.settings.SettingsText
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.process.event
import io.egretlock.store.settings.SettingsEditOutcome
import io.egretlock.store.settings.SettingsEditor
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.future.future
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.util.concurrent.CompletableFuture

private val logger = KotlinLogging.logger {}

/**
 * HTTP routes for operators that read and edit a team's settings. Revisions are entity tags: an edit names in
 * `If-Match` the revision that it replaces, `"0"` for a team without settings.
 */
internal class SettingsRoutes(
    private val tracker: SettingsTracker,
    private val editor: SettingsEditor,
    private val tokens: TeamTokens,
    private val drain: Drain,
    private val scope: CoroutineScope,
) {
    /** Adds the routes to a server. */
    fun addTo(config: JavalinConfig) {
        config.routes.get(PATH) { context -> authorized(context) { team -> show(context, team) } }
        config.routes.put(PATH) { context -> authorized(context) { team -> put(context, team) } }
    }

    private fun authorized(
        context: Context,
        body: (TeamName) -> Unit,
    ) {
        val team = TeamName(context.pathParam("team"))
        if (tokens.allows(team, context.header("Authorization"))) return body(team)
        context.header("WWW-Authenticate", "Bearer")
        problem(context, SettingsHttpStatus.UNAUTHORIZED, "unauthorized", "The token is not that of the team.")
    }

    private fun show(
        context: Context,
        team: TeamName,
    ) {
        val stored = tracker.table.settingsOf(team)
        context.header("ETag", entityTag(stored?.revision ?: 0))
        when {
            stored == null ->
                problem(context, HttpStatus.NOT_FOUND, "no-settings", "Team '$team' has no settings in force here.")
            formatOf(context.header("Accept")) == SettingsFormat.YAML ->
                context.contentType(YAML_TYPE).result(SettingsText.toYaml(stored.settings))
            else -> context.contentType(JSON_TYPE).result(SettingsText.toJson(stored.settings))
        }
    }

    private fun put(
        context: Context,
        team: TeamName,
    ) {
        val condition = context.header("If-Match")
        val expected = condition?.let(::revisionOf)
        when {
            condition == null ->
                problem(context, SettingsHttpStatus.PRECONDITION_REQUIRED, "no-revision", "If-Match is missing.")
            expected == null ->
                problem(context, HttpStatus.BAD_REQUEST, "malformed", "If-Match is not one revision in quotes.")
            context.bodyAsBytes().size > LARGEST_BODY_BYTES ->
                problem(context, HttpStatus.CONTENT_TOO_LARGE, "too-large", "At most $LARGEST_BODY_BYTES bytes.")
            else ->
                SettingsText
                    .read(context.body(), formatOf(context.header("Content-Type")), team)
                    .fold(success = { edit(context, it, expected) }, failure = { invalid(context, it) })
        }
    }

    private fun invalid(
        context: Context,
        faults: List<SettingsFault>,
    ) = answer(
        context,
        SettingsProblem(
            type = "urn:egretlock:invalid-settings",
            title = "invalid settings",
            status = HttpStatus.UNPROCESSABLE,
            detail = "${faults.size} values are not allowed.",
            faults = faults,
        ),
    )

    /** Edits settings outside the server's threads and counts the request, so that a drain waits for its answer. */
    private fun edit(
        context: Context,
        settings: TeamSettings,
        expectedRevision: Long,
    ) {
        drain.beginRequest()
        context.future {
            val answered: CompletableFuture<Unit> =
                scope.future { respond(context, settings.team, edited(settings, expectedRevision)) }
            answered.whenComplete { _, _ -> drain.endRequest() }
        }
    }

    private suspend fun edited(
        settings: TeamSettings,
        expectedRevision: Long,
    ): SettingsEditOutcome =
        editor.edit(
            settings = settings,
            expectedRevision = expectedRevision,
            knownRevision = tracker.table.highestRevision(),
            deadlineMillis = EDIT_DEADLINE_MILLIS,
        )

    private fun respond(
        context: Context,
        team: TeamName,
        outcome: SettingsEditOutcome,
    ) {
        logger.event(EntryEvent.SETTINGS_EDITED, "team" to team, "outcome" to outcome::class.simpleName)
        when (outcome) {
            is SettingsEditOutcome.Accepted -> accepted(context, outcome.stored)
            is SettingsEditOutcome.Conflict -> conflict(context, outcome.current)
            is SettingsEditOutcome.Unknown -> unknown(context, outcome)
            is SettingsEditOutcome.Unavailable -> unavailable(context, outcome.detail)
        }
    }

    private fun accepted(
        context: Context,
        stored: StoredTeamSettings,
    ) {
        tracker.applyNewer(listOf(stored))
        val body = SettingsAcceptedBody(stored.settings.team.value, stored.revision)
        context.header("ETag", entityTag(stored.revision))
        context.contentType(JSON_TYPE).result(json.encodeToString(body))
    }

    private fun conflict(
        context: Context,
        current: StoredTeamSettings?,
    ) {
        tracker.applyNewer(listOfNotNull(current))
        context.header("ETag", entityTag(current?.revision ?: 0))
        answer(
            context,
            SettingsProblem(
                type = "urn:egretlock:revision-conflict",
                title = "revision conflict",
                status = SettingsHttpStatus.PRECONDITION_FAILED,
                detail = "The settings are at another revision. Read them again, then repeat the edit on top of them.",
                currentRevision = current?.revision ?: 0,
            ),
        )
    }

    private fun unknown(
        context: Context,
        outcome: SettingsEditOutcome.Unknown,
    ) = answer(
        context,
        SettingsProblem(
            type = "urn:egretlock:outcome-unknown",
            title = "outcome unknown",
            status = HttpStatus.UNAVAILABLE,
            detail = "${outcome.detail} The edit may be stored; read the settings before you repeat it.",
            stored = StoredState.UNKNOWN,
        ),
    )

    private fun unavailable(
        context: Context,
        detail: String,
    ) {
        context.header("Retry-After", RETRY_AFTER_SECONDS)
        problem(context, HttpStatus.UNAVAILABLE, "store-unavailable", detail)
    }

    private fun problem(
        context: Context,
        status: Int,
        code: String,
        detail: String,
    ) = answer(context, SettingsProblem("urn:egretlock:$code", code.replace('-', ' '), status, detail))

    private fun answer(
        context: Context,
        problem: SettingsProblem,
    ) {
        context.status(problem.status).contentType(Problem.MEDIA_TYPE).result(json.encodeToString(problem))
    }

    private fun formatOf(mediaType: String?): SettingsFormat =
        if (mediaType.orEmpty().contains("yaml")) SettingsFormat.YAML else SettingsFormat.JSON

    private fun entityTag(revision: Long): String = "\"$revision\""

    private fun revisionOf(entityTag: String): Long? =
        ENTITY_TAG
            .matchEntire(entityTag.trim())
            ?.groupValues
            ?.last()
            ?.toLongOrNull()

    private companion object {
        const val PATH = "/v1/teams/{team}/settings"
        const val JSON_TYPE = "application/json"
        const val YAML_TYPE = "application/yaml"
        const val LARGEST_BODY_BYTES = 262_144
        const val EDIT_DEADLINE_MILLIS = 5_000L
        const val RETRY_AFTER_SECONDS = "2"
        val ENTITY_TAG = Regex("\"([0-9]{1,18})\"")
        val json = Json { encodeDefaults = true }
    }
}

/** Status codes that only the settings routes use. */
internal object SettingsHttpStatus {
    const val UNAUTHORIZED = 401
    const val PRECONDITION_FAILED = 412
    const val PRECONDITION_REQUIRED = 428
}
