package io.egretlock.testing.upstream

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.serialization.Serializable
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.io.IOException
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/** Body of the request with which an upstream announces itself to its agent. */
@Serializable
data class Announcement(
    val service: String,
    val slots: Int,
    val connections: Int,
    val address: String,
)

/**
 * Announces an upstream to its agent at an interval, and withdraws the announcement.
 *
 * @param agentAddress URL of the agent's announce address.
 */
class UpstreamAnnouncer(
    private val announcement: Announcement,
    agentAddress: String,
) : AutoCloseable {
    private val url = "$agentAddress/v1/upstream"
    private val client = OkHttpClient.Builder().callTimeout(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).build()
    private val timer = Executors.newSingleThreadScheduledExecutor { Thread(it).apply { isDaemon = true } }

    fun start() {
        timer.scheduleWithFixedDelay(::announce, 0, ANNOUNCE_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)
    }

    /** Stops announcing and notifies the agent that the upstream leaves. Returns whether the agent confirmed it. */
    fun deregister(): Boolean {
        close()
        timer.awaitTermination(CALL_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        return call(
            Request
                .Builder()
                .url(url)
                .delete()
                .build(),
        )
    }

    /** Stops announcing without notifying the agent. */
    override fun close() {
        timer.shutdown()
    }

    private fun announce() {
        val body = Json.encodeToString(announcement).toRequestBody(JSON_TYPE)
        call(
            Request
                .Builder()
                .url(url)
                .put(body)
                .build(),
        )
    }

    private fun call(request: Request): Boolean =
        try {
            client.newCall(request).execute().use { it.isSuccessful }
        } catch (failure: IOException) {
            logger.debug { "${request.method} $url failed: $failure" }
            false
        }

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 1_000L
        const val ANNOUNCE_INTERVAL_MILLIS = 300L
        val JSON_TYPE = "application/json".toMediaType()
    }
}
