package io.egretlock.entry.run

import io.egretlock.core.run.QueueConfiguration
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ConfigurationKeeperTest {
    private val applied = mutableListOf<Long>()

    private fun keeper(store: KeyValueStore = FakeStore(emptyList())) =
        ConfigurationKeeper(store, KEY, { QueueConfiguration(it.toLong(), emptyList(), 1) }) { configuration, _ ->
            applied += configuration.version
        }

    @Test
    fun `a version is applied only if it is higher than the one in force`() {
        val keeper = keeper()
        listOf("4", "3", "4", "9", "5").forEach { keeper.offer(it, "test") }
        assertEquals(listOf(4L, 9L), applied)
        assertEquals("9", keeper.document)
    }

    @Test
    fun `a document that can't be read leaves the one in force`() {
        val keeper = keeper()
        listOf("4", "nonsense").forEach { keeper.offer(it, "test") }
        assertEquals(4L, keeper.current?.version)
    }

    @Test
    fun `after a failed read and an ended watch the store is read again`() {
        val store = FakeStore(listOf(null, "2", "6"))
        runBlocking {
            val following = async { keeper(store).run() }
            while (applied.lastOrNull() != 7L) yield()
            following.cancel()
        }
        assertEquals(listOf(2L, 3L, 6L, 7L), applied)
    }

    /** Each read gives the next of [reads], null for a failure; each watch gives the version after that, then fails. */
    private class FakeStore(
        reads: List<String?>,
    ) : KeyValueStore {
        private val left = ArrayDeque(reads)
        private var last = ""

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            if (left.isEmpty()) awaitCancellation()
            last = left.removeFirst() ?: throw StoreException("down")
            return StoreSnapshot(listOf(StoreEntry(KEY, last, 1), StoreEntry("$KEY.other", "99", 1)), 1)
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
                emit(StoreEntry(KEY, "${last.toLong() + 1}", 2))
                throw StoreException("The history is gone.")
            }
    }

    private companion object {
        const val KEY = "configuration"
    }
}
