package io.egretlock.testing.client

import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Body of a job submission. */
@Serializable
data class JobRequest(
    val team: String,
    val service: String,
    val deadlineMillis: Long,
    val tasks: List<JobTask>,
    val createdAt: Long? = null,
)

/** One task of a [JobRequest]. */
@Serializable
data class JobTask(
    val operation: String,
    val idempotent: Boolean,
    val payload: JsonElement,
)
