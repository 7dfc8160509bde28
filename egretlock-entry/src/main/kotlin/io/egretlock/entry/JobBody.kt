package io.egretlock.entry

import io.egretlock.core.job.DeclaredNeeds
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Request body of a submission. */
@Serializable
data class JobBody(
    val team: String,
    val service: String,
    val createdAt: Long? = null,
    val deadlineMillis: Long,
    val tasks: List<TaskBody>,
)

/** One task of a [JobBody]. [payload] is any JSON value. */
@Serializable
data class TaskBody(
    val operation: String,
    val idempotent: Boolean,
    val payload: JsonElement,
    val declared: DeclaredNeeds = DeclaredNeeds(),
)

/** Response body for a complete job, with one answer per task in task order. */
@Serializable
data class CompleteBody(
    val job: String,
    val state: String,
    val answers: List<JsonElement>,
)

/** Response body with the state of a job. */
@Serializable
data class StateBody(
    val job: String,
    val state: String,
)
