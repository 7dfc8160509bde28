package io.egretlock.testing.store

import io.egretlock.core.roster.NodeAddress
import io.egretlock.store.StoreEntry
import io.egretlock.store.etcd.EtcdMessages
import io.egretlock.store.etcd.KeyValue
import io.egretlock.store.etcd.RangeRequest
import io.egretlock.store.etcd.RangeResponse
import io.egretlock.store.etcd.RequestOperation
import io.egretlock.store.etcd.ResponseHeader
import io.egretlock.store.etcd.ResponseOperation
import io.egretlock.store.etcd.TransactionRequest
import io.egretlock.store.etcd.TransactionResponse
import io.egretlock.store.etcd.WatchCreateRequest
import io.egretlock.store.etcd.WatchEvent
import io.egretlock.store.etcd.WatchMessage
import io.egretlock.store.etcd.WatchRequest
import io.egretlock.store.etcd.WatchResponse
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.javalin.http.Context
import kotlinx.serialization.encodeToString
import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

/**
 * Stands in for the platform's store in tests: the range, transaction and watch calls of the etcd v3 API in their JSON
 * form, in memory. Faults are set by [faults] or by `PUT /control/faults`; calls are counted by kind.
 */
class StoreStandIn(
    address: NodeAddress,
) : AutoCloseable {
    /** All changes so far; tests may write to it directly, as another client of the store does. */
    val history = StoreHistory()

    private val currentFaults = AtomicReference(StoreFaults())
    private val reads = AtomicLong()
    private val writes = AtomicLong()
    private val watches = AtomicLong()
    private val lastSilencedWatch = AtomicLong()
    private val javalin = Javalin.create(::configure).start(address.host, address.port)

    /** Address on which the stand-in listens. */
    val address = NodeAddress(address.host, javalin.port())

    /** Current faults. */
    var faults: StoreFaults
        get() = currentFaults.get()
        set(value) {
            currentFaults.set(value)
            if (value.availability == StoreAvailability.HANGING) silenceWatches()
        }

    /** Number of calls since the start. */
    val calls: StoreCallCounts
        get() = StoreCallCounts(reads = reads.get(), writes = writes.get(), watches = watches.get())

    /** Silences all watches that are open now, permanently and without closing their connections. */
    fun silenceWatches() = lastSilencedWatch.set(watches.get())

    override fun close() {
        javalin.stop()
    }

    private fun configure(config: JavalinConfig) {
        config.startup.showJavalinBanner = false
        config.routes.post("/v3/kv/range") { context -> handleCall(context, reads) { range(context) } }
        config.routes.post("/v3/kv/txn") { context -> handleCall(context, writes) { transaction(context) } }
        config.routes.post("/v3/watch") { context -> handleCall(context, watches) { watch(context) } }
        config.routes.get("/control/faults") { context -> answer(context, EtcdMessages.json.encodeToString(faults)) }
        config.routes.put("/control/faults") { context ->
            faults = EtcdMessages.json.decodeFromString<StoreFaults>(context.body())
        }
        config.routes.post("/control/silence-watches") { silenceWatches() }
        config.routes.get("/control/calls") { context -> answer(context, EtcdMessages.json.encodeToString(calls)) }
    }

    private fun handleCall(
        context: Context,
        counter: AtomicLong,
        body: () -> Unit,
    ) {
        counter.incrementAndGet()
        Thread.sleep(faults.delayMillis)
        while (faults.availability == StoreAvailability.HANGING) Thread.sleep(POLL_MILLIS)
        if (faults.availability == StoreAvailability.REFUSING) context.status(HTTP_UNAVAILABLE) else body()
    }

    private fun range(context: Context) {
        val request = EtcdMessages.json.decodeFromString<RangeRequest>(context.body())
        answer(context, EtcdMessages.json.encodeToString(rangeOf(request)))
    }

    private fun rangeOf(request: RangeRequest): RangeResponse {
        val revision = faults.readRevision ?: history.revision
        val entries =
            history.read(
                from = EtcdMessages.decode(request.key),
                until = request.rangeEnd?.let(EtcdMessages::decode),
                atRevision = revision,
            )
        return RangeResponse(
            header = ResponseHeader(revision),
            kvs = entries.filter { it.revision >= request.minModRevision }.map(::keyValueOf),
        )
    }

    private fun transaction(context: Context) {
        val request = EtcdMessages.json.decodeFromString<TransactionRequest>(context.body())
        val comparison = request.compare.single()
        val put = requireNotNull(request.success.single().put) { "A transaction must put." }
        val stored =
            history.compareAndSwap(
                key = EtcdMessages.decode(comparison.key),
                expectedRevision = comparison.modRevision,
                value = EtcdMessages.decode(put.value),
            )
        val response =
            TransactionResponse(
                header = ResponseHeader(stored ?: history.revision),
                succeeded = stored != null,
                responses = if (stored == null) request.failure.map(::rangeOf) else emptyList(),
            )
        if (takeLostAnswer()) breakConnection(context) else answer(context, EtcdMessages.json.encodeToString(response))
    }

    private fun rangeOf(operation: RequestOperation) = ResponseOperation(operation.range?.let(::rangeOf))

    private fun takeLostAnswer(): Boolean {
        val before = currentFaults.getAndUpdate { it.copy(lostAnswers = (it.lostAnswers - 1).coerceAtLeast(0)) }
        return before.lostAnswers > 0
    }

    /** Announces more bytes than it sends, so that the server closes the connection in the middle of the answer. */
    private fun breakConnection(context: Context) {
        context.res().setContentLength(UNSENT_BYTES)
        context.res().outputStream.write('{'.code)
        context.res().outputStream.flush()
    }

    private fun watch(context: Context) {
        val watchNumber = watches.get()
        val request = EtcdMessages.json.decodeFromString<WatchRequest>(context.body()).create
        val output = context.contentType(JSON).res().outputStream
        try {
            send(output, WatchResponse(ResponseHeader(history.revision), created = true))
            var lastSentRevision = request.startRevision - 1
            while (faults.availability != StoreAvailability.REFUSING) {
                lastSentRevision = sendChanges(output, request, lastSentRevision, watchNumber)
            }
        } catch (_: IOException) {
            // The client has closed the connection.
        }
    }

    private fun sendChanges(
        output: OutputStream,
        request: WatchCreateRequest,
        lastSentRevision: Long,
        watchNumber: Long,
    ): Long {
        val changes =
            history.changesAfter(
                from = EtcdMessages.decode(request.key),
                until = request.rangeEnd?.let(EtcdMessages::decode),
                afterRevision = lastSentRevision,
                waitMillis = POLL_MILLIS,
            )
        val last = changes.lastOrNull()?.revision ?: lastSentRevision
        when {
            changes.isEmpty() || watchNumber <= lastSilencedWatch.get() -> sendWhiteSpace(output)
            else -> send(output, WatchResponse(ResponseHeader(last), events = changes.map(::eventOf)))
        }
        return last
    }

    /** Sends white space, which clients skip, to detect that the client has closed the connection. */
    private fun sendWhiteSpace(output: OutputStream) {
        output.write('\n'.code)
        output.flush()
    }

    private fun send(
        output: OutputStream,
        response: WatchResponse,
    ) {
        output.write((EtcdMessages.json.encodeToString(WatchMessage(response)) + "\n").toByteArray())
        output.flush()
    }

    private fun eventOf(entry: StoreEntry): WatchEvent =
        WatchEvent(
            type = if (entry.value == null) WatchEvent.TYPE_DELETE else WatchEvent.TYPE_PUT,
            kv = keyValueOf(entry),
        )

    private fun keyValueOf(entry: StoreEntry): KeyValue =
        KeyValue(
            key = EtcdMessages.encode(entry.key),
            value = EtcdMessages.encode(entry.value.orEmpty()),
            modRevision = entry.revision,
        )

    private fun answer(
        context: Context,
        body: String,
    ) {
        context.contentType(JSON).result(body)
    }

    private companion object {
        const val JSON = "application/json"
        const val HTTP_UNAVAILABLE = 503
        const val POLL_MILLIS = 200L
        const val UNSENT_BYTES = 1_000
    }
}
