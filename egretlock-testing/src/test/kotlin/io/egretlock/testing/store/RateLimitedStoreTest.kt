package io.egretlock.testing.store

import io.egretlock.store.KeyValueStore
import io.egretlock.store.RateLimitedStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreRateLimitException
import io.egretlock.store.StoreRateLimiter
import io.egretlock.store.StoreRateLimits
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import io.prometheus.metrics.model.registry.PrometheusRegistry
import io.prometheus.metrics.model.snapshots.CounterSnapshot
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class RateLimitedStoreTest {
    private var nowMillis = 0L
    private val registry = PrometheusRegistry()
    private val rateLimiter = StoreRateLimiter(StoreRateLimits(callsPerSecond = 2.0, burst = 3), registry) { nowMillis }
    private val countingStore = CountingStore()
    private val store = RateLimitedStore(countingStore, rateLimiter)

    @Test
    fun `given an exhausted budget, when calls come, then none is made until time passes, separately for each kind`() {
        for (call in listOf(::read, ::write, ::watch)) {
            repeat(3) { call() }
            repeat(2) { assertThrows(StoreRateLimitException::class.java) { call() } }
        }
        assertEquals(listOf(3, 3, 3), countingStore.calls())
        nowMillis += 500
        read()
        assertThrows(StoreRateLimitException::class.java) { read() }
        assertEquals(listOf(4, 3, 3), countingStore.calls())
    }

    @Test
    fun `given calls made, failed and withheld, when the metrics are read, then each kind is counted`() {
        repeat(2) { read() }
        repeat(4) { runCatching { write() } }
        watch()
        countingStore.isFailing = true
        assertThrows(StoreException::class.java) { read() }
        assertEquals(mapOf("read" to 3.0, "write" to 3.0, "watch" to 1.0), metric("egretlock_store_calls"))
        assertEquals(mapOf("read" to 1.0, "write" to 0.0, "watch" to 0.0), metric("egretlock_store_calls_failed"))
        assertEquals(mapOf("read" to 0.0, "write" to 1.0, "watch" to 0.0), metric("egretlock_store_calls_withheld"))
    }

    private fun read() {
        runBlocking { store.read("/") }
    }

    private fun write() {
        runBlocking { store.compareAndSwap("/", 0, "") }
    }

    private fun watch() {
        runBlocking { store.watch("/", 0).toList() }
    }

    private fun metric(name: String): Map<String, Double> =
        registry
            .scrape { it == name }
            .filterIsInstance<CounterSnapshot>()
            .single()
            .dataPoints
            .associate { it.labels.get("kind").orEmpty() to it.value }

    private class CountingStore : KeyValueStore {
        var isFailing = false
        private var reads = 0
        private var writes = 0
        private var watches = 0

        fun calls(): List<Int> = listOf(reads, writes, watches)

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            reads++
            if (isFailing) throw StoreException("The store refuses.")
            return StoreSnapshot(emptyList(), revision = 1)
        }

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult {
            writes++
            return SwapResult.Stored(revision = 1)
        }

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> = flow { watches++ }
    }
}
