package io.egretlock.entry

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.LogFormat
import io.egretlock.protocol.LinkTiming
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

class EntryProcessTest {
    private val store = GatedStore()

    @Test
    fun `given settings that are not read yet, when an entry starts, then it joins the roster after reading them`() =
        runBlocking {
            val process = EntryProcess(settings(), store)
            process.start()
            withTimeout(DEADLINE_MILLIS) { store.settingsRequested.await() }
            delay(SETTLE_MILLIS)
            assertEquals(listOf(0, false), listOf(store.rosterWrites.get(), process.ready))
            store.settingsReleased.complete(Unit)
            withTimeout(DEADLINE_MILLIS) { while (!process.ready) delay(POLL_MILLIS) }
            process.stop()
        }

    private fun settings() =
        EntrySettings(
            name = "entry-1",
            failureDomain = FailureDomain("marka"),
            callersAddress = freeAddress(),
            operatorsAddress = freeAddress(),
            linkAddress = freeAddress(),
            advertisedLinkAddress = freeAddress(),
            storeAddresses = listOf(freeAddress()),
            operatorToken = null,
            teamTokens = TeamTokens(emptyMap()),
            timing = LinkTiming(),
            noticeMillis = 0,
            drainMillis = 1_000,
            logFormat = LogFormat.TEXT,
        )

    private fun freeAddress(): NodeAddress {
        val port = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
        return NodeAddress("127.0.0.1", port)
    }

    /** A store without settings that answers reads of settings only once [settingsReleased] is complete. */
    private class GatedStore : KeyValueStore {
        val settingsRequested = CompletableDeferred<Unit>()
        val settingsReleased = CompletableDeferred<Unit>()
        val rosterWrites = AtomicInteger()
        private val roster = AtomicReference<StoreEntry?>()

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            if (prefix.startsWith("/egretlock/settings/")) {
                settingsRequested.complete(Unit)
                settingsReleased.await()
                return StoreSnapshot(emptyList(), revision = 1)
            }
            val present = roster.get()
            return StoreSnapshot(listOfNotNull(present), revision = present?.revision ?: 1)
        }

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult {
            val present = roster.get()
            if ((present?.revision ?: 0) != expectedRevision) return SwapResult.Conflict(present)
            val revision = 1L + rosterWrites.incrementAndGet()
            roster.set(StoreEntry(key, value, revision))
            return SwapResult.Stored(revision)
        }

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> = flow { awaitCancellation() }
    }

    private companion object {
        const val DEADLINE_MILLIS = 20_000L
        const val SETTLE_MILLIS = 300L
        const val POLL_MILLIS = 10L
    }
}
