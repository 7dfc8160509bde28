package io.egretlock.process

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import sun.misc.Signal
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

class ServedProcessTest {
    private val reloaded = CountDownLatch(1)

    private val process =
        object : ServedProcess {
            override suspend fun start() = Unit

            override suspend fun stop() = Unit

            override fun reload() = reloaded.countDown()
        }

    /** Uses a signal other than SIGHUP, because a test run started by `nohup` ignores SIGHUP. */
    @Test
    fun `a reload signal makes the process reload its settings and keep running`() {
        reloadOn("WINCH", process)
        Signal.raise(Signal("WINCH"))
        assertTrue(reloaded.await(10, TimeUnit.SECONDS))
    }
}
