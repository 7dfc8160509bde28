package io.egretlock.agent

import com.sun.net.httpserver.HttpExchange
import com.sun.net.httpserver.HttpServer
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit

/** Fake upstream: records every request and answers it with [respond]. */
internal class FakeUpstream(
    private val respond: (HttpExchange) -> Unit,
) : AutoCloseable {
    private val threads = Executors.newCachedThreadPool()
    private val server = HttpServer.create(InetSocketAddress("127.0.0.1", 0), 0)

    /** Method and path of every request, in order of arrival. */
    val requests = CopyOnWriteArrayList<String>()

    /** Bodies of all requests that started a task. */
    val bodies = CopyOnWriteArrayList<String>()

    init {
        server.executor = threads
        server.createContext("/", ::handle)
        server.start()
    }

    /** Address that the agent calls. */
    val address = NodeAddress("127.0.0.1", server.address.port)

    fun announcement(slots: Int = 2): UpstreamAnnouncement =
        UpstreamAnnouncement(ServiceName("net-check"), slots, 64, "http://$address")

    /** Waits until [count] requests have arrived. */
    fun awaitRequest(count: Int = 1) {
        val deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(FakeEntry.DEADLINE_MILLIS)
        while (requests.size < count) {
            check(System.nanoTime() < deadlineNanos) { "Only ${requests.size} requests arrived." }
            Thread.sleep(POLL_MILLIS)
        }
    }

    override fun close() {
        server.stop(0)
        threads.shutdownNow()
    }

    private fun handle(exchange: HttpExchange) {
        val body = exchange.requestBody.readAllBytes().decodeToString()
        if (exchange.requestMethod == "POST") bodies += body
        requests += "${exchange.requestMethod} ${exchange.requestURI.path}"
        respond(exchange)
    }

    companion object {
        private const val POLL_MILLIS = 5L

        /** Answers with [status] and [body]. */
        fun answer(
            exchange: HttpExchange,
            body: String,
            status: Int = 200,
        ) {
            val bytes = body.toByteArray()
            exchange.sendResponseHeaders(status, if (bytes.isEmpty()) -1 else bytes.size.toLong())
            exchange.responseBody.use { it.write(bytes) }
        }

        /** Answers POST requests once [release] completes, others at once. */
        fun answerAfter(
            release: CompletableFuture<Unit>,
            body: String,
        ): (HttpExchange) -> Unit =
            { exchange ->
                if (exchange.requestMethod == "POST") release.get()
                answer(exchange, body)
            }
    }
}
