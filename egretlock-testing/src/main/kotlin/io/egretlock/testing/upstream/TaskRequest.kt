package io.egretlock.testing.upstream

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull

private const val DEFAULT_RUN_MILLIS = 5.0

/** Body of the request with which an agent starts a task. */
@Serializable
data class TaskRequest(
    val operation: String,
    val payload: JsonElement,
    val remainingMillis: Long,
) {
    /** Run time in milliseconds at speed 1, from the field `runMillis` of the payload. */
    val runMillis: Double
        get() = ((payload as? JsonObject)?.get("runMillis") as? JsonPrimitive)?.doubleOrNull ?: DEFAULT_RUN_MILLIS
}

/** Answer of a stand-in to a task that ran; it names the task, so that mismatched answers can be detected. */
@Serializable
data class TaskAnswer(
    val task: String,
    val echo: JsonElement,
)

/** Answer of a stand-in to a task that failed or was stopped. */
@Serializable
data class TaskFailure(
    val error: String,
)
