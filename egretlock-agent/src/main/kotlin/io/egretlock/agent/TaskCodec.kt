package io.egretlock.agent

import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.UpstreamAnnouncement
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.JsonUnquotedLiteral
import kotlinx.serialization.json.buildJsonObject
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response

/** Encodes a task as an HTTP request to an upstream, and decodes the upstream's answer. */
internal object TaskCodec {
    /** Largest answer that is accepted, in bytes. */
    const val LARGEST_ANSWER_BYTES = 1L * 1_024 * 1_024

    private val JSON_TYPE = "application/json".toMediaType()

    /** URL at which [upstream] runs and stops [task]. */
    fun url(
        upstream: UpstreamAnnouncement,
        task: TaskId,
    ): HttpUrl =
        upstream.address
            .toHttpUrl()
            .newBuilder()
            .addPathSegment("tasks")
            .addPathSegment(task.toString())
            .build()

    /** Operation, payload and remaining time as JSON. */
    fun requestBody(
        specification: TaskSpecification,
        remainingMillis: Long,
    ): RequestBody =
        buildJsonObject {
            put("operation", JsonPrimitive(specification.operation.value))
            put("payload", rawJson(specification.payload))
            put("remainingMillis", JsonPrimitive(remainingMillis))
        }.toString().toRequestBody(JSON_TYPE)

    /** Reads the whole answer; throws [java.io.IOException] if the connection ends early. */
    fun outcomeOf(response: Response): TaskOutcome {
        if (!response.isSuccessful) return failed("The upstream answered with status ${response.code}.")
        val source = response.body.source()
        if (source.request(LARGEST_ANSWER_BYTES + 1)) return failed("The upstream's answer is too large.")
        val answer = source.readUtf8()
        return if (isJson(answer)) TaskOutcome.Succeeded(answer) else failed("The upstream's answer is not JSON.")
    }

    @OptIn(ExperimentalSerializationApi::class)
    private fun rawJson(text: String): JsonElement =
        if (text.trim() == JsonNull.content) JsonNull else JsonUnquotedLiteral(text)

    private fun failed(detail: String): TaskOutcome = TaskOutcome.Ended(Verdict.Failed(Reason.UPSTREAM_FAILED, detail))

    private fun isJson(text: String): Boolean =
        try {
            Json.parseToJsonElement(text)
            true
        } catch (_: SerializationException) {
            false
        }
}
