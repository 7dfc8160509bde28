package io.egretlock.store.etcd

import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreOutcomeUnknownException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Dispatcher
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.BufferedSource
import java.io.IOException
import java.net.ConnectException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Client of the platform's store, which uses the JSON form of the etcd v3 API over HTTP.
 *
 * The client never retries a call: callers decide whether to retry within their own deadlines. After a failed call the
 * following call goes to the next endpoint.
 */
class EtcdStore(
    private val settings: EtcdStoreSettings,
) : KeyValueStore,
    AutoCloseable {
    private val endpointIndex = AtomicInteger()
    private val client =
        OkHttpClient
            .Builder()
            .retryOnConnectionFailure(false)
            .connectTimeout(settings.connectMillis, TimeUnit.MILLISECONDS)
            .readTimeout(settings.callMillis, TimeUnit.MILLISECONDS)
            .callTimeout(settings.callMillis, TimeUnit.MILLISECONDS)
            .dispatcher(Dispatcher().apply { maxRequestsPerHost = maxRequests })
            .build()
    private val watchClient =
        client
            .newBuilder()
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .callTimeout(0, TimeUnit.MILLISECONDS)
            .build()

    override suspend fun read(
        prefix: String,
        changedAfter: Long,
    ): StoreSnapshot {
        val request =
            RangeRequest(
                key = EtcdMessages.encode(prefix),
                rangeEnd = EtcdMessages.encode(EtcdMessages.endOfPrefix(prefix)),
                minModRevision = if (changedAfter > 0) changedAfter + 1 else 0,
            )
        val response = EtcdMessages.json.encodeToString(request).let { call(RANGE_PATH, it) }
        val range = decoding { EtcdMessages.json.decodeFromString<RangeResponse>(response) }
        return StoreSnapshot(entries = range.kvs.map(::entryOf), revision = range.header.revision)
    }

    override suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapResult =
        try {
            val request = EtcdMessages.json.encodeToString(swapRequest(key, expectedRevision, value))
            val response = call(TRANSACTION_PATH, request)
            swapResult(decoding { EtcdMessages.json.decodeFromString<TransactionResponse>(response) })
        } catch (failure: NotSentException) {
            throw failure
        } catch (failure: StoreException) {
            throw StoreOutcomeUnknownException(key, failure)
        }

    override fun watch(
        prefix: String,
        revision: Long,
    ): Flow<StoreEntry> =
        callbackFlow {
            val create =
                WatchCreateRequest(
                    key = EtcdMessages.encode(prefix),
                    rangeEnd = EtcdMessages.encode(EtcdMessages.endOfPrefix(prefix)),
                    startRevision = revision + 1,
                )
            val body = EtcdMessages.json.encodeToString(WatchRequest(create))
            val call = watchClient.newCall(requestTo(WATCH_PATH, body))
            launch(Dispatchers.IO) { close(runWatch(call, channel)) }
            awaitClose { call.cancel() }
        }

    /** Cancels pending calls, which fail, and closes all connections. */
    override fun close() {
        client.dispatcher.cancelAll()
        client.dispatcher.executorService.shutdown()
        client.connectionPool.evictAll()
    }

    private fun swapRequest(
        key: String,
        expectedRevision: Long,
        value: String,
    ): TransactionRequest {
        val encodedKey = EtcdMessages.encode(key)
        return TransactionRequest(
            compare = listOf(Comparison(key = encodedKey, modRevision = expectedRevision)),
            success = listOf(RequestOperation(put = PutRequest(encodedKey, EtcdMessages.encode(value)))),
            failure = listOf(RequestOperation(range = RangeRequest(encodedKey))),
        )
    }

    private fun swapResult(response: TransactionResponse): SwapResult {
        if (response.succeeded) return SwapResult.Stored(response.header.revision)
        val current =
            response.responses
                .firstNotNullOfOrNull { it.range }
                ?.kvs
                ?.firstOrNull()
        return SwapResult.Conflict(current?.let(::entryOf))
    }

    /** Sends changes until the watch ends; returns the cause. */
    private suspend fun runWatch(
        call: Call,
        changes: SendChannel<StoreEntry>,
    ): StoreException =
        try {
            call.execute().use { response ->
                requireSuccess(response)
                sendChanges(response.body.source(), changes)
            }
            StoreException("The store ended the watch.")
        } catch (failure: IOException) {
            recordFailure(failure)
        } catch (failure: StoreException) {
            failure
        }

    private suspend fun sendChanges(
        source: BufferedSource,
        changes: SendChannel<StoreEntry>,
    ) {
        while (true) {
            val line = source.readUtf8Line() ?: return
            if (line.isBlank()) continue
            val response = decoding { EtcdMessages.json.decodeFromString<WatchMessage>(line) }.result
            if (response == null || response.canceled) return
            response.events.forEach { event -> changes.send(changeOf(event)) }
        }
    }

    private fun changeOf(event: WatchEvent): StoreEntry {
        val entry = entryOf(event.kv)
        return if (event.type == WatchEvent.TYPE_DELETE) entry.copy(value = null) else entry
    }

    private fun entryOf(pair: KeyValue): StoreEntry =
        StoreEntry(
            key = EtcdMessages.decode(pair.key),
            value = EtcdMessages.decode(pair.value),
            revision = pair.modRevision,
        )

    private suspend fun call(
        path: String,
        body: String,
    ): String =
        try {
            client.newCall(requestTo(path, body)).await().use { response ->
                requireSuccess(response)
                response.body.string()
            }
        } catch (failure: IOException) {
            throw recordFailure(failure)
        }

    private fun requestTo(
        path: String,
        body: String,
    ): Request {
        val address = settings.endpoints[Math.floorMod(endpointIndex.get(), settings.endpoints.size)]
        return Request
            .Builder()
            .url("http://$address$path")
            .post(body.toRequestBody(JSON_TYPE))
            .build()
    }

    private fun requireSuccess(response: Response) {
        if (!response.isSuccessful) throw recordFailure(IOException("The store answered HTTP ${response.code}."))
    }

    /** Switches to the next endpoint and returns the exception to report for [cause]. */
    private fun recordFailure(cause: IOException): StoreException {
        endpointIndex.incrementAndGet()
        val message = "The store gave no answer: ${cause.message}"
        return if (cause is ConnectException) NotSentException(message, cause) else StoreException(message, cause)
    }

    private fun <T> decoding(decode: () -> T): T =
        try {
            decode()
        } catch (failure: SerializationException) {
            throw StoreException("The store's answer can't be read: ${failure.message}", failure)
        }

    private class NotSentException(
        message: String,
        cause: Throwable,
    ) : StoreException(message, cause)

    private companion object {
        const val RANGE_PATH = "/v3/kv/range"
        const val TRANSACTION_PATH = "/v3/kv/txn"
        const val WATCH_PATH = "/v3/watch"
        val JSON_TYPE = "application/json".toMediaType()
    }
}

private suspend fun Call.await(): Response =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { cancel() }
        enqueue(
            object : Callback {
                override fun onFailure(
                    call: Call,
                    e: IOException,
                ) = continuation.resumeWithException(e)

                override fun onResponse(
                    call: Call,
                    response: Response,
                ) = continuation.resume(response) { _, unused, _ -> unused.close() }
            },
        )
    }
