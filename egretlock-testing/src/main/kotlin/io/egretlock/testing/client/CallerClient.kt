package io.egretlock.testing.client

import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/**
 * Submits jobs over HTTP as a caller does, without retries.
 *
 * @param timeoutMillis time after which a submission without an answer counts as [JobReply.Lost].
 */
class CallerClient(
    timeoutMillis: Long = DEFAULT_TIMEOUT_MILLIS,
) : AutoCloseable {
    private val client =
        OkHttpClient
            .Builder()
            .dispatcher(
                Dispatcher().apply {
                    maxRequests = MAX_REQUESTS
                    maxRequestsPerHost = MAX_REQUESTS
                },
            ).retryOnConnectionFailure(false)
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .callTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
            .build()
    private val json = Json { ignoreUnknownKeys = true }

    /** Submits a job to the callers' address [entry], `host:port`, and completes with the reply. */
    fun submit(
        entry: String,
        id: String,
        job: JobRequest,
    ): CompletableFuture<JobReply> = submitText(entry, id, Json.encodeToString(job))

    /** Submits [body], which need not be well-formed. */
    fun submitText(
        entry: String,
        id: String,
        body: String,
    ): CompletableFuture<JobReply> {
        val reply = CompletableFuture<JobReply>()
        client.newCall(request(entry, id).put(body.toRequestBody(JSON_TYPE)).build()).enqueue(ReplyReader(reply))
        return reply
    }

    /** Cancels a job and returns the HTTP status. */
    fun cancel(
        entry: String,
        id: String,
    ): Int = client.newCall(request(entry, id).delete().build()).execute().use { it.code }

    /** Queries the state of a job and returns the body of the answer. */
    fun state(
        entry: String,
        id: String,
    ): String = client.newCall(request(entry, id).get().build()).execute().use { it.body.string() }

    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun request(
        entry: String,
        id: String,
    ): Request.Builder = Request.Builder().url("http://$entry/v1/jobs/$id")

    private inner class ReplyReader(
        private val reply: CompletableFuture<JobReply>,
    ) : Callback {
        override fun onFailure(
            call: Call,
            e: IOException,
        ) {
            reply.complete(if (e is ConnectException) JobReply.Unreachable("$e") else JobReply.Lost("$e"))
        }

        override fun onResponse(
            call: Call,
            response: Response,
        ) {
            reply.complete(
                try {
                    response.use(::read)
                } catch (failure: Exception) {
                    JobReply.Lost("status ${response.code}: $failure")
                },
            )
        }

        private fun read(response: Response): JobReply {
            val body = response.body.string()
            if (response.isSuccessful) {
                val complete = json.decodeFromString<CompleteBody>(body)
                return JobReply.Complete(complete.job, complete.answers)
            }
            val retryAfterSeconds = response.header("Retry-After")?.toLongOrNull()
            return JobReply.Refused(response.code, json.decodeFromString<Problem>(body), retryAfterSeconds)
        }
    }

    private companion object {
        const val DEFAULT_TIMEOUT_MILLIS = 30_000L
        const val MAX_REQUESTS = 1_000
        val JSON_TYPE = "application/json".toMediaType()
    }
}
