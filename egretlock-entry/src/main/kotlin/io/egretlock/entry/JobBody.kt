package io.egretlock.entry

import io.egretlock.core.job.DeclaredNeeds
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Body of a submission as callers send it. */
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

/** Answer to a job that is complete: one answer for each task, in task order. */
@Serializable
data class CompleteBody(
    val job: String,
    val state: String,
    val answers: List<JsonElement>,
)

/** Answer to a question for a job's state. */
@Serializable
data class StateBody(
    val job: String,
    val state: String,
)
