package io.egretlock.testing.store

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

class StoreHistoryTest {
    private val history = StoreHistory()

    @Test
    fun `given changes of other keys only, when waiting for a range, then the wait lasts until one in it changes`() {
        history.put("/other", "value")
        val waiting = CompletableFuture.supplyAsync { changedKeys() }
        assertThrows(TimeoutException::class.java) { waiting.get(SETTLE_MILLIS, TimeUnit.MILLISECONDS) }
        history.put("/mine/a", "value")
        assertEquals(listOf("/mine/a"), waiting.get(LONG_WAIT_MILLIS, TimeUnit.MILLISECONDS))
    }

    private fun changedKeys(): List<String> =
        history.changesAfter("/mine/", "/mine0", afterRevision = 1, waitMillis = LONG_WAIT_MILLIS).map { it.key }

    private companion object {
        const val LONG_WAIT_MILLIS = 10_000L
        const val SETTLE_MILLIS = 300L
    }
}
