package io.egretlock.entry

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.cancelChildren
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HomeTickerTest {
    @Test
    fun `given no live jobs, when a busy ticker ticks, then an idle one ticks less than half as often`() =
        runBlocking {
            val busy = Ticks(this, liveJobs = 1)
            val idle = Ticks(this, liveJobs = 0)
            busy.await(TICKS)
            assertTrue(idle.count < TICKS / 2)
            coroutineContext.cancelChildren()
        }

    @Test
    fun `given an idle ticker, when a job becomes live, then it ticks like a busy one`() =
        runBlocking {
            val busy = Ticks(this, liveJobs = 1)
            val woken = Ticks(this, liveJobs = 0)
            busy.await(TICKS)
            val before = woken.count
            woken.ticker.observe(1)
            busy.await(TICKS)
            assertTrue(woken.count - before > TICKS / 2)
            coroutineContext.cancelChildren()
        }

    private class Ticks(
        scope: CoroutineScope,
        liveJobs: Int,
    ) {
        private val received = Channel<HomeInput>(Channel.UNLIMITED)
        val ticker = HomeTicker(::record).apply { observe(liveJobs) }
        var count = 0
            private set

        init {
            scope.launch { ticker.run() }
        }

        suspend fun await(wanted: Int) = repeat(wanted) { received.receive() }

        private fun record(input: HomeInput) {
            count++
            received.trySend(input)
        }
    }

    private companion object {
        const val TICKS = 30
    }
}
