package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.ForwardQuery
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

class PeerConnectionTest {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loop = EventLoop("sockets")
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val accepted = AtomicInteger()

    @AfterEach
    fun stop() {
        scope.cancel()
        loop.close()
        server.close()
    }

    @Test
    fun `given an address that closes connections, when a call is pending, then it ends after few connections`() =
        runBlocking {
            thread(isDaemon = true) { acceptAndClose() }
            val connection = connection()
            connection.start()
            assertEquals(null, withTimeout(DEADLINE_MILLIS) { connection.call(1, ForwardQuery(1, JobId("a"))) })
            assertTrue(accepted.get() <= MAX_CONNECTIONS) { "${accepted.get()} connections were made." }
        }

    @Test
    fun `given a connection that is stopped, when a call is made, then it ends without a reply`() =
        runBlocking {
            thread(isDaemon = true) { acceptAndClose() }
            val connection = connection()
            connection.start()
            connection.stop()
            assertEquals(null, withTimeout(DEADLINE_MILLIS) { connection.call(1, ForwardQuery(1, JobId("a"))) })
        }

    private fun connection(): PeerConnection {
        val member = EntryMember(ProcessId("entry-2", 1), NodeAddress("127.0.0.1", server.localPort))
        val hello = EntryHello(ProcessId("entry-1", 1), NodeAddress("127.0.0.1", 1))
        val timing = LinkTiming(heartbeatMillis = SILENCE_MILLIS / 2, silenceMillis = SILENCE_MILLIS)
        return PeerConnection(member, hello, IgnoringListener, loop, timing, scope)
    }

    private fun acceptAndClose() {
        try {
            while (true) server.accept().also { accepted.incrementAndGet() }.close()
        } catch (_: IOException) {
            return
        }
    }

    private object IgnoringListener : PeerListener {
        override fun openingMessages(): List<Message> = emptyList()

        override fun reachable(entry: ProcessId) = Unit

        override fun unreachable(
            entry: ProcessId,
            hasEnded: Boolean,
        ) = Unit

        override fun received(message: Message) = Unit
    }

    private companion object {
        const val BACKLOG = 10
        const val DEADLINE_MILLIS = 10_000L
        const val SILENCE_MILLIS = 400L

        /** One connection per redial delay of 100 ms within the silence of 400 ms, and one more at either end. */
        const val MAX_CONNECTIONS = 6
    }
}
