package io.egretlock.agent

import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.process.event
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.HttpUrl.Companion.toHttpUrlOrNull

private val logger = KotlinLogging.logger {}

/**
 * The routes on which the upstream announces itself (`PUT /v1/upstream`) and leaves (`DELETE /v1/upstream`).
 *
 * No task is started after the upstream has left. `DELETE` is answered with 204 if no task is running, else with 202
 * and the number of running tasks; the upstream may repeat it until the answer is 204.
 */
internal class UpstreamRoutes(
    private val commands: SendChannel<AgentCommand>,
) {
    /** Adds the routes to a server. */
    fun addTo(config: JavalinConfig) {
        config.routes.put("/v1/upstream", ::announce)
        config.routes.delete("/v1/upstream", ::leave)
    }

    private fun announce(context: Context) {
        val announcement = parse(context.body())
        val faults = if (announcement == null) listOf(NOT_AN_ANNOUNCEMENT) else faultsOf(announcement)
        if (announcement == null || faults.isNotEmpty()) return reject(context, faults)
        val accepted = CompletableDeferred<Boolean>()
        commands.trySend(UpstreamAnnounced(announcement, accepted))
        context.status(if (runBlocking { accepted.await() }) HTTP_NO_CONTENT else HTTP_UNAVAILABLE)
    }

    private fun reject(
        context: Context,
        faults: List<String>,
    ) {
        logger.event(AgentEvent.ANNOUNCEMENT_REJECTED, "faults" to faults)
        context.status(HTTP_BAD_REQUEST).result(faults.joinToString("\n"))
    }

    private fun leave(context: Context) {
        val reply = CompletableDeferred<Int>()
        commands.trySend(UpstreamLeft(reply))
        val runningTasks = runBlocking { reply.await() }
        context.status(if (runningTasks == 0) HTTP_NO_CONTENT else HTTP_ACCEPTED)
        if (runningTasks > 0) {
            context.contentType("application/json").result(Json.encodeToString(LeaveProgress(runningTasks)))
        }
    }

    private fun parse(body: String): UpstreamAnnouncement? =
        try {
            Json.decodeFromString<UpstreamAnnouncement>(body)
        } catch (malformed: SerializationException) {
            logger.debug { "Malformed announcement: $malformed" }
            null
        }

    private fun faultsOf(announcement: UpstreamAnnouncement): List<String> =
        listOfNotNull(
            "service: must not be blank.".takeIf { announcement.service.value.isBlank() },
            "slots: must be from 1 to $LARGEST_SLOTS.".takeIf { announcement.slots !in 1..LARGEST_SLOTS },
            "connections: must be from 1 to $LARGEST_CONNECTIONS."
                .takeIf { announcement.connections !in 1..LARGEST_CONNECTIONS },
            "address: must be an http URL.".takeIf { announcement.address.toHttpUrlOrNull()?.scheme != "http" },
        )

    @Serializable
    private data class LeaveProgress(
        val runningTasks: Int,
    )

    private companion object {
        const val LARGEST_SLOTS = 256
        const val LARGEST_CONNECTIONS = 65_535
        const val NOT_AN_ANNOUNCEMENT = "The body is not an announcement."
        const val HTTP_ACCEPTED = 202
        const val HTTP_NO_CONTENT = 204
        const val HTTP_BAD_REQUEST = 400
        const val HTTP_UNAVAILABLE = 503
    }
}
