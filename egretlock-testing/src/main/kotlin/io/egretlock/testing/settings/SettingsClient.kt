package io.egretlock.testing.settings

import io.egretlock.core.roster.NodeAddress
import io.egretlock.testing.system.EntryNode
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.long
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Reads and edits the settings of one team over HTTP, as its operators do. */
class SettingsClient(
    private val team: String,
    private val token: String? = EntryNode.tokenOf(team),
) {
    private val client = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build()

    /** Reads the settings in force at an entry as [mediaType]. */
    fun get(
        entry: NodeAddress,
        mediaType: String = "application/json",
    ): SettingsReply = call(request(entry).header("Accept", mediaType).get())

    /** Puts settings at an entry with [entityTag] as the `If-Match` condition; null sends no condition. */
    fun put(
        entry: NodeAddress,
        entityTag: String?,
        body: String,
        mediaType: String = "application/json",
    ): SettingsReply {
        val request = request(entry).put(body.toRequestBody(mediaType.toMediaType()))
        entityTag?.let { request.header("If-Match", it) }
        return call(request)
    }

    /** Revision in force at an entry or agent; 0 if it has none, null if it does not answer. */
    fun revisionInForce(process: NodeAddress): Long? =
        try {
            val request = Request.Builder().url("http://$process/dump").build()
            client.newCall(request).execute().use { revisionOf(Json.parseToJsonElement(it.body.string()).jsonObject) }
        } catch (_: IOException) {
            null
        }

    private fun revisionOf(dump: JsonObject): Long {
        val state = dump["home"]?.jsonObject ?: dump
        val settings = state.getValue("settings").jsonArray.map { it.jsonObject }
        val own = settings.firstOrNull { teamOf(it) == team }
        return own?.getValue("revision")?.jsonPrimitive?.long ?: 0
    }

    private fun teamOf(stored: JsonObject): String =
        stored
            .getValue("settings")
            .jsonObject
            .getValue("team")
            .jsonPrimitive.content

    private fun request(entry: NodeAddress): Request.Builder {
        val request = Request.Builder().url("http://$entry/v1/teams/$team/settings")
        return token?.let { request.header("Authorization", "Bearer $it") } ?: request
    }

    private fun call(request: Request.Builder): SettingsReply =
        client.newCall(request.build()).execute().use { response ->
            SettingsReply(
                status = response.code,
                entityTag = response.header("ETag"),
                body = response.body.string(),
                retryAfter = response.header("Retry-After"),
            )
        }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 15_000L
    }
}

/** Answer of an entry to a settings request. */
data class SettingsReply(
    val status: Int,
    val entityTag: String?,
    val body: String,
    val retryAfter: String?,
) {
    /** The body as a JSON object. */
    val json: JsonObject
        get() = Json.parseToJsonElement(body).jsonObject

    /** Text of one field of the body; null without that field. */
    fun text(field: String): String? = json[field]?.jsonPrimitive?.content

    /** Revision in [entityTag]. */
    val revision: Long?
        get() = entityTag?.trim('"')?.toLongOrNull()
}
