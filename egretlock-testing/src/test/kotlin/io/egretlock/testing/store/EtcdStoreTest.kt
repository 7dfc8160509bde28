package io.egretlock.testing.store

import io.egretlock.core.roster.NodeAddress
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreOutcomeUnknownException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import io.egretlock.store.etcd.EtcdStore
import io.egretlock.store.etcd.EtcdStoreSettings
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.take
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.locks.LockSupport
import kotlin.concurrent.thread

class EtcdStoreTest {
    private val standIn = StoreStandIn(NodeAddress("127.0.0.1", 0))
    private val store = EtcdStore(EtcdStoreSettings(listOf(standIn.address), callMillis = CALL_MILLIS))

    @AfterEach
    fun closeBoth() {
        store.close()
        standIn.close()
    }

    @Test
    fun `given an absent key, when swapped at revision 0, then it is stored and read back`() =
        withDeadline {
            assertEquals(SwapResult.Stored(2), store.compareAndSwap("/a/x", 0, "Ämter"))
            assertEquals(StoreSnapshot(listOf(StoreEntry("/a/x", "Ämter", 2)), 2), store.read("/a/"))
        }

    @Test
    fun `given a key that changed, when swapped at its old revision, then the current entry is returned`() =
        withDeadline {
            standIn.history.put("/a/x", "one")
            standIn.history.put("/a/x", "two")
            assertEquals(SwapResult.Conflict(StoreEntry("/a/x", "two", 3)), store.compareAndSwap("/a/x", 2, "three"))
        }

    @Test
    fun `given another writer, when a key is swapped again and again, then each answer names the key's own revision`() {
        val isWriting = AtomicBoolean(true)
        val writer =
            thread {
                while (isWriting.get()) {
                    standIn.history.put("/other", "value")
                    LockSupport.parkNanos(BETWEEN_WRITES_NANOS)
                }
            }
        withDeadline {
            var revision = 0L
            repeat(SWAPS) {
                revision = (store.compareAndSwap("/a/x", revision, "value") as SwapResult.Stored).revision
                val current = standIn.history.read("/a/x", until = null).single()
                assertEquals(current.revision, revision)
            }
        }
        isWriting.set(false)
        writer.join()
    }

    @Test
    fun `given a key that is absent, when swapped at a revision, then nothing is stored`() =
        withDeadline {
            assertEquals(SwapResult.Conflict(null), store.compareAndSwap("/a/x", 2, "three"))
        }

    @Test
    fun `given several changes, when read after a revision, then only later ones are returned`() =
        withDeadline {
            standIn.history.put("/a/x", "one")
            standIn.history.put("/a/y", "two")
            standIn.history.put("/b/z", "three")
            assertEquals(StoreSnapshot(listOf(StoreEntry("/a/y", "two", 3)), 4), store.read("/a/", changedAfter = 2))
        }

    @Test
    fun `given a watch from a revision, when keys change, then all later changes arrive in order`() =
        withDeadline {
            standIn.history.put("/a/x", "one")
            standIn.history.put("/a/x", "two")
            standIn.history.put("/a/x", null)
            val expected = listOf(StoreEntry("/a/x", "two", 3), StoreEntry("/a/x", null, 4))
            assertEquals(expected, store.watch("/a/", 2).take(2).toList())
        }

    @Test
    fun `given a write whose answer is lost, when swapped, then the outcome is unknown and the write is stored`() {
        standIn.faults = StoreFaults(lostAnswers = 1)
        assertThrows(StoreOutcomeUnknownException::class.java) {
            withDeadline { store.compareAndSwap("/a/x", 0, "one") }
        }
        assertEquals(listOf(StoreEntry("/a/x", "one", 2)), standIn.history.read("/a/x", until = null))
    }

    @Test
    fun `given a store that hangs, when read, then the call fails and later ones succeed`() {
        standIn.faults = StoreFaults(availability = StoreAvailability.HANGING)
        assertThrows(StoreException::class.java) { withDeadline { store.read("/a/") } }
        standIn.faults = StoreFaults()
        assertEquals(emptyList<StoreEntry>(), withDeadline { store.read("/a/").entries })
    }

    @Test
    fun `given a store that refuses, when watched, then the watch fails with the status`() {
        standIn.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        val failure = assertThrows(StoreException::class.java) { withDeadline { store.watch("/a/", 1).first() } }
        assertEquals("The store gave no answer: The store answered HTTP 503.", failure.message)
    }

    @Test
    fun `given two endpoints with the first closed, when called twice, then the second answers`() =
        withDeadline {
            val closed = StoreStandIn(NodeAddress("127.0.0.1", 0)).also { it.close() }
            EtcdStore(EtcdStoreSettings(listOf(closed.address, standIn.address))).use { both ->
                assertThrows(StoreException::class.java) { runBlocking { both.read("/a/") } }
                assertEquals(1, both.read("/a/").revision)
            }
        }

    @Test
    fun `given a closed endpoint, when swapped, then the write is known not to have been executed`() {
        standIn.close()
        val failure =
            assertThrows(StoreException::class.java) { withDeadline { store.compareAndSwap("/a/x", 0, "one") } }
        assertEquals(false, failure is StoreOutcomeUnknownException)
    }

    @Test
    fun `given reads from an older state, when read, then that state and its revision are returned`() =
        withDeadline {
            standIn.history.put("/a/x", "one")
            standIn.history.put("/a/x", "two")
            standIn.faults = StoreFaults(readRevision = 2)
            assertEquals(StoreSnapshot(listOf(StoreEntry("/a/x", "one", 2)), 2), store.read("/a/"))
        }

    private fun <T> withDeadline(body: suspend () -> T): T = runBlocking { withTimeout(DEADLINE_MILLIS) { body() } }

    private companion object {
        const val CALL_MILLIS = 1_000L
        const val DEADLINE_MILLIS = 20_000L
        const val SWAPS = 500
        const val BETWEEN_WRITES_NANOS = 20_000L
    }
}
