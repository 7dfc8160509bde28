package io.egretlock.sockets

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test

class EventLoopTest {
    private val loop = EventLoop("test")

    @AfterEach
    fun close() = loop.close()

    @Test
    fun `given coroutines of the loop, when they are started elsewhere, then all run on its one thread`() =
        runBlocking(Dispatchers.Default) {
            val threads = List(100) { async(loop) { yield().let { Thread.currentThread() } } }.map { it.await() }
            assertEquals(setOf("test"), threads.map { it.name.substringBefore(" @") }.toSet())
        }

    @Test
    fun `given delays, when they end, then in the order of their times`() =
        runBlocking(loop) {
            val ended = mutableListOf<Long>()
            listOf(60L, 20L, 40L, 0L)
                .map { millis ->
                    launch {
                        delay(millis)
                        ended += millis
                    }
                }.forEach { it.join() }
            assertEquals(listOf(0L, 20L, 40L, 60L), ended)
        }

    @Test
    fun `given a delay that is cancelled, when others follow, then it does not hold them up`() =
        runBlocking(loop) {
            val long = launch { delay(Long.MAX_VALUE) }
            yield()
            long.cancelAndJoin()
            delay(1)
        }

    @Test
    fun `given a wait without end, when its timeout is over, then it is cancelled`() {
        assertThrows(TimeoutCancellationException::class.java) {
            runBlocking(loop) { withTimeout(10) { awaitCancellation() } }
        }
    }

    @Test
    fun `given an idle loop, when other threads dispatch tasks, then each is run`() =
        runBlocking(Dispatchers.Default) {
            repeat(2_000) { round -> assertEquals(round, withContext(loop) { round }) }
        }

    @Test
    fun `given a task that fails, when others follow, then they run`() =
        runBlocking(Dispatchers.Default) {
            loop.post { error("expected by the test") }
            assertEquals(1, withContext(loop) { 1 })
        }

    @Test
    fun `given a closed loop, when something is dispatched to it, then it is cancelled`() =
        runBlocking(Dispatchers.Default) {
            loop.close()
            val ended = CompletableDeferred<Throwable?>()
            launch(loop) { awaitCancellation() }.invokeOnCompletion { ended.complete(it) }
            assertEquals(true, ended.await() is CancellationException)
        }
}
