package io.egretlock.entry.run

import io.egretlock.core.run.QueueConfiguration
import io.egretlock.platform.PlatformStore
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource

@OptIn(ExperimentalCoroutinesApi::class)
class ConfigurationTrackerTest {
    private val applied = mutableListOf<Long>()

    private fun tracker(store: KeyValueStore = FakeStore(emptyList())) =
        ConfigurationTracker(store, KEY, { QueueConfiguration(it.toLong(), emptyList(), 1) }) { configuration, _ ->
            applied += configuration.version
        }

    @Test
    fun `a version is applied only if it is higher than the current one`() {
        val tracker = tracker()
        listOf("4", "3", "4", "9", "5").forEach { tracker.offer(it, "test") }
        assertEquals(listOf(4L, 9L), applied)
        assertEquals("9", tracker.document)
    }

    @Test
    fun `a document that can't be read leaves the current one applied`() {
        val tracker = tracker()
        listOf("4", "nonsense").forEach { tracker.offer(it, "test") }
        assertEquals(4L, tracker.current?.version)
    }

    @Test
    fun `after a failed read and an ended watch the store is read again`() {
        val store = FakeStore(listOf(null, "2", "6"))
        runBlocking {
            val following = async { tracker(store).run() }
            while (applied.lastOrNull() != 7L) yield()
            following.cancel()
        }
        assertEquals(listOf(2L, 3L, 6L, 7L), applied)
    }

    /** Guards against jobs that run on a removed route after the connections to the store went silent. */
    @ParameterizedTest
    @ValueSource(longs = [2_000, 3_000, 4_000])
    fun `a version that is stored just after the connections went silent is applied in the time allowed`(
        applyMillis: Long,
    ) = runTest {
        val store = SilentStore(ConfigurationTracker.watchMillis(applyMillis))
        backgroundScope.launch { tracker(store).run() }
        while (applied.lastOrNull() != 2L) delay(1)
        assertTrue(currentTime <= applyMillis, "The version was applied after $currentTime ms.")
    }

    /** Stores version 2 just after the first read, whose watch is silent; the next read takes as long as is allowed. */
    private class SilentStore(
        private val watchMillis: Long,
    ) : KeyValueStore by FakeStore(emptyList()) {
        private var readCount = 0

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            readCount++
            if (readCount > 1) delay(ConfigurationTracker.READ_MILLIS)
            return StoreSnapshot(listOf(StoreEntry(KEY, "$readCount", 1)), 1)
        }

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> =
            flow {
                delay(watchMillis + PlatformStore.WATCH_TIMEOUT_MILLIS)
                throw StoreException("The watch got no answer.")
            }
    }

    /** Each read returns the next of [reads], or fails for null; each watch emits the next version, then fails. */
    private class FakeStore(
        reads: List<String?>,
    ) : KeyValueStore {
        private val remainingReads = ArrayDeque(reads)
        private var lastRead = ""

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            if (remainingReads.isEmpty()) awaitCancellation()
            lastRead = remainingReads.removeFirst() ?: throw StoreException("down")
            return StoreSnapshot(listOf(StoreEntry(KEY, lastRead, 1), StoreEntry("$KEY.other", "99", 1)), 1)
        }

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult = error("not used")

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> =
            flow {
                emit(StoreEntry(KEY, "${lastRead.toLong() + 1}", 2))
                throw StoreException("The history is gone.")
            }
    }

    private companion object {
        const val KEY = "configuration"
    }
}
