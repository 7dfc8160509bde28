package io.egretlock.agent

import ch.qos.logback.classic.Level
import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.LogFormat
import io.egretlock.process.LogSetup
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Start
import kotlinx.coroutines.runBlocking
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.net.ServerSocket
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

/** An agent in the test's own process, with the HTTP calls that an upstream and an operator make. */
internal class AgentFixture(
    entries: List<NodeAddress>,
    timing: LinkTiming = LinkTiming(),
    drainMillis: Long = 10_000,
) : AutoCloseable {
    private val settings =
        AgentSettings(
            name = "agent-1",
            failureDomain = FailureDomain("nebrodi"),
            announceAddress = freeAddress(),
            operatorsAddress = freeAddress(),
            entries = entries,
            operatorToken = null,
            timing = timing,
            drainMillis = drainMillis,
            logFormat = LogFormat.TEXT,
        )
    private val http = HttpClient.newHttpClient()
    val process: AgentProcess

    init {
        LogSetup.apply(LogFormat.TEXT, Level.ERROR)
        process = AgentProcess(settings).apply { runBlocking { start() } }
    }

    fun announce(announcement: UpstreamAnnouncement): Int = announce(Json.encodeToString(announcement)).statusCode()

    fun announce(body: String): HttpResponse<String> =
        call(settings.announceAddress, "/v1/upstream", "PUT", HttpRequest.BodyPublishers.ofString(body))

    fun leave(): Int = call(settings.announceAddress, "/v1/upstream", "DELETE").statusCode()

    fun get(path: String): HttpResponse<String> = call(settings.operatorsAddress, path, "GET")

    fun dump(): AgentDump = Json.decodeFromString(get("/dump").body())

    override fun close() = runBlocking { process.stop() }

    private fun call(
        address: NodeAddress,
        path: String,
        method: String,
        body: HttpRequest.BodyPublisher = HttpRequest.BodyPublishers.noBody(),
    ): HttpResponse<String> {
        val request = HttpRequest.newBuilder(URI("http://$address$path")).method(method, body).build()
        return http.send(request, HttpResponse.BodyHandlers.ofString())
    }

    companion object {
        fun start(
            index: Int,
            attempt: Int = 1,
            remainingMillis: Long = 10_000,
        ) = Start(
            TaskAttempt(TaskId(JobId("job"), index), attempt),
            TeamName("reti-etnee"),
            TaskSpecification(OperationName("tear-check"), idempotent = true, payload = """{"panel":7}"""),
            remainingMillis,
        )

        private fun freeAddress(): NodeAddress = ServerSocket(0).use { NodeAddress("127.0.0.1", it.localPort) }
    }
}
