package io.egretlock.agent

import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.UpstreamAnnouncement
import io.github.oshai.kotlinlogging.KotlinLogging
import okhttp3.Call
import okhttp3.Callback
import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.OkHttpClient
import okhttp3.Protocol
import okhttp3.Request
import okhttp3.Response
import java.io.IOException
import java.io.InterruptedIOException
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.ExecutorService
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

private val logger = KotlinLogging.logger {}

/**
 * Calls an upstream over HTTP. Every request is sent at most once: connection retries, redirects and OkHttp's own
 * follow-up requests are disabled.
 */
internal class HttpUpstreamClient : UpstreamClient {
    private val threads = threadPool()
    private val pool = ConnectionPool(LARGEST_IDLE_CONNECTIONS, IDLE_SECONDS, TimeUnit.SECONDS)
    private val client =
        OkHttpClient
            .Builder()
            .dispatcher(unboundedDispatcher(threads))
            .connectionPool(pool)
            .protocols(listOf(Protocol.HTTP_1_1))
            .socketFactory(KeepAliveSocketFactory)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_MILLIS, TimeUnit.MILLISECONDS)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .eventListenerFactory { call -> call.request().tag(SendTracker::class.java) ?: SendTracker() }
            .addNetworkInterceptor(AtMostOnceInterceptor)
            .build()

    override fun run(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        specification: TaskSpecification,
        remainingMillis: Long,
        onEnd: (CallEnd) -> Unit,
    ) {
        val tracker = SendTracker()
        val request =
            Request
                .Builder()
                .url(TaskCodec.url(upstream, task))
                .post(TaskCodec.requestBody(specification, remainingMillis))
                .tag(SendTracker::class.java, tracker)
                .build()
        val call = client.newCall(request)
        call.timeout().timeout(remainingMillis, TimeUnit.MILLISECONDS)
        call.enqueue(RunCallback(tracker, onEnd))
    }

    override fun stop(
        upstream: UpstreamAnnouncement,
        task: TaskId,
        onEnd: () -> Unit,
    ) {
        val call =
            client.newCall(
                Request
                    .Builder()
                    .url(TaskCodec.url(upstream, task))
                    .delete()
                    .build(),
            )
        call.timeout().timeout(STOP_MILLIS, TimeUnit.MILLISECONDS)
        call.enqueue(StopCallback(onEnd))
    }

    override fun probe(
        upstream: UpstreamAnnouncement,
        onEnd: (Boolean) -> Unit,
    ) {
        threads.execute { onEnd(acceptsConnection(upstream.address.toHttpUrl())) }
    }

    override fun dropIdleConnections() = pool.evictAll()

    override fun cancelAll() = client.dispatcher.cancelAll()

    override fun close() {
        cancelAll()
        threads.shutdown()
        pool.evictAll()
    }

    private fun acceptsConnection(url: HttpUrl): Boolean =
        try {
            Socket().use { it.connect(InetSocketAddress(url.host, url.port), CONNECT_MILLIS.toInt()) }
            true
        } catch (_: IOException) {
            false
        }

    private class RunCallback(
        private val tracker: SendTracker,
        private val onEnd: (CallEnd) -> Unit,
    ) : Callback {
        override fun onResponse(
            call: Call,
            response: Response,
        ) = onEnd(
            try {
                CallEnd.Ended(response.use(TaskCodec::outcomeOf))
            } catch (failure: Exception) {
                endWithoutAnswer(failure)
            },
        )

        override fun onFailure(
            call: Call,
            e: IOException,
        ) = onEnd(endWithoutAnswer(e))

        private fun endWithoutAnswer(failure: Exception): CallEnd {
            logger.debug { "Call to the upstream failed: $failure" }
            if (!tracker.mayHaveSent) return CallEnd.NotStarted
            val verdict = if (failure is InterruptedIOException) NO_ANSWER_IN_TIME else CONNECTION_LOST
            return CallEnd.Ended(TaskOutcome.Ended(verdict))
        }
    }

    private class StopCallback(
        private val onEnd: () -> Unit,
    ) : Callback {
        override fun onResponse(
            call: Call,
            response: Response,
        ) {
            response.close()
            onEnd()
        }

        override fun onFailure(
            call: Call,
            e: IOException,
        ) = onEnd()
    }

    internal companion object {
        val NO_ANSWER_IN_TIME = Verdict.MayHaveRun(Reason.DEADLINE, "The upstream gave no answer within the deadline.")
        val CONNECTION_LOST =
            Verdict.MayHaveRun(Reason.UPSTREAM_LOST, "The connection to the upstream was lost before its answer.")
        private const val CONNECT_MILLIS = 1_000L
        private const val STOP_MILLIS = 2_000L
        private const val IDLE_SECONDS = 30L
        private const val LARGEST_IDLE_CONNECTIONS = 64
        private const val THREAD_IDLE_SECONDS = 10L
        private const val LARGEST_THREADS = 256

        private fun threadPool(): ExecutorService =
            ThreadPoolExecutor(
                LARGEST_THREADS,
                LARGEST_THREADS,
                THREAD_IDLE_SECONDS,
                TimeUnit.SECONDS,
                LinkedBlockingQueue(),
            ) { task -> Thread(task, "upstream-call").apply { isDaemon = true } }
                .apply { allowCoreThreadTimeOut(true) }

        private fun unboundedDispatcher(threads: ExecutorService): Dispatcher =
            Dispatcher(threads).apply {
                maxRequests = Int.MAX_VALUE
                maxRequestsPerHost = Int.MAX_VALUE
            }
    }
}
