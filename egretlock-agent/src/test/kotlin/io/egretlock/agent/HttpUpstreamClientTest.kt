package io.egretlock.agent

import com.sun.net.httpserver.HttpExchange
import io.egretlock.agent.AgentFixture.Companion.start
import io.egretlock.agent.FakeUpstream.Companion.answer
import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.UpstreamAnnouncement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.io.BufferedReader
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class HttpUpstreamClientTest {
    @Test
    fun `given an answer that asks for a retry, when a task is run, then the upstream gets it once`() {
        val upstream =
            FakeUpstream { exchange ->
                exchange.responseHeaders.add("Retry-After", "0")
                answer(exchange, "{}", status = 503)
            }
        upstream.use {
            assertEquals(failed("The upstream answered with status 503."), run(it.announcement()))
            assertEquals(1, it.requests.size)
        }
    }

    @Test
    fun `given a redirect, when a task is run, then it is not followed`() {
        val upstream =
            FakeUpstream { exchange ->
                exchange.responseHeaders.add("Location", "/elsewhere")
                answer(exchange, "", status = 308)
            }
        upstream.use {
            assertEquals(failed("The upstream answered with status 308."), run(it.announcement()))
            assertEquals(listOf("POST /tasks/job:0"), it.requests.toList())
        }
    }

    @Test
    fun `given an answer that is not JSON, when a task is run, then it has failed`() =
        withAnswer("{") { assertEquals(failed("The upstream's answer is not JSON."), it) }

    @Test
    fun `given an answer beyond the limit, when a task is run, then it has failed`() =
        withAnswer("\"${"x".repeat(TaskCodec.LARGEST_ANSWER_BYTES.toInt())}\"") {
            assertEquals(failed("The upstream's answer is too large."), it)
        }

    @Test
    fun `given a connection cut before the answer, when a task is run, then it may have run`() {
        val upstream = FakeUpstream(HttpExchange::close)
        upstream.use { assertEquals(ended(HttpUpstreamClient.CONNECTION_LOST), run(it.announcement())) }
    }

    @Test
    fun `given no answer until the deadline, when a task is run, then it may have run`() {
        val release = CompletableFuture<Unit>()
        val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "1"))
        upstream.use {
            assertEquals(ended(HttpUpstreamClient.NO_ANSWER_IN_TIME), run(it.announcement(), remainingMillis = 300))
            release.complete(Unit)
        }
    }

    @Test
    fun `given a refused connection, when a task is run, then it has not started`() {
        val port = ServerSocket(0).use { it.localPort }
        val end = run(UpstreamAnnouncement(ServiceName("net-check"), 1, 2, "http://127.0.0.1:$port"))
        assertEquals(CallEnd.NotStarted, end)
    }

    @Test
    fun `given an idle connection closed by the upstream, when a task is run, then it is not sent again elsewhere`() {
        FailingServer().use { server ->
            val announcement = UpstreamAnnouncement(ServiceName("net-check"), 1, 2, "http://127.0.0.1:${server.port}")
            val client = HttpUpstreamClient()
            assertEquals(CallEnd.Ended(TaskOutcome.Succeeded("1")), run(announcement, client = client))
            assertEquals(ended(HttpUpstreamClient.CONNECTION_LOST), run(announcement, client = client))
            client.close()
            assertEquals(2, server.requests.get())
        }
    }

    private fun withAnswer(
        body: String,
        check: (CallEnd) -> Unit,
    ) = FakeUpstream { answer(it, body) }.use { check(run(it.announcement())) }

    private fun run(
        upstream: UpstreamAnnouncement,
        remainingMillis: Long = 10_000,
        client: HttpUpstreamClient = HttpUpstreamClient(),
    ): CallEnd {
        val end = CompletableFuture<CallEnd>()
        client.run(upstream, start(0).attempt.task, start(0).specification, remainingMillis) { end.complete(it) }
        return end.get(DEADLINE_MILLIS, TimeUnit.MILLISECONDS)
    }

    private fun failed(detail: String) =
        CallEnd.Ended(TaskOutcome.Ended(Verdict.Failed(Reason.UPSTREAM_FAILED, detail)))

    private fun ended(verdict: Verdict): CallEnd = CallEnd.Ended(TaskOutcome.Ended(verdict))

    /** Answers its first request and closes the connection on every other, after reading the request. */
    private class FailingServer : AutoCloseable {
        private val listener = ServerSocket(0)
        val port = listener.localPort
        val requests = AtomicInteger()

        init {
            thread(isDaemon = true) { runCatching { while (true) listener.accept().use(::serve) } }
        }

        override fun close() = listener.close()

        private fun serve(socket: Socket) {
            val reader = socket.getInputStream().bufferedReader()
            while (readRequest(reader) && requests.incrementAndGet() == 1) {
                socket.getOutputStream().write("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n1".toByteArray())
            }
        }

        private fun readRequest(reader: BufferedReader): Boolean {
            val head = generateSequence { reader.readLine() }.takeWhile { it.isNotEmpty() }.toList()
            val length = head.firstOrNull { it.startsWith("Content-Length") } ?: return false
            repeat(length.substringAfter(": ").toInt()) { reader.read() }
            return true
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 20_000L
    }
}
