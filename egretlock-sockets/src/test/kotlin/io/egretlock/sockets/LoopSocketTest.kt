package io.egretlock.sockets

import io.egretlock.core.roster.NodeAddress
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.io.IOException
import java.net.BindException
import java.net.ConnectException
import java.net.ServerSocket
import java.net.UnknownHostException
import java.nio.ByteBuffer
import kotlin.random.Random

class LoopSocketTest {
    private val loop = EventLoop("test")

    @AfterEach
    fun close() = loop.close()

    private fun withPair(body: suspend (LoopSocket, LoopSocket) -> Unit) =
        runBlocking(loop) {
            withTimeout(DEADLINE_MILLIS) {
                val server = LoopServer.bind(loop, HOST, 0)
                val accepted = Channel<LoopSocket>(Channel.UNLIMITED)
                val accepting = launch { server.acceptAll { accepted.trySend(it) } }
                val local = LoopSocket.connect(loop, NodeAddress(HOST, server.port))
                body(local, accepted.receive())
                server.close()
                accepting.join()
            }
        }

    private suspend fun LoopSocket.readFully(count: Int): ByteArray {
        val bytes = ByteBuffer.allocate(count)
        while (bytes.hasRemaining() && read(bytes) >= 0) Unit
        return bytes.array().copyOf(bytes.position())
    }

    @Test
    fun `given more bytes than a connection buffers, when they are read slowly, then all arrive in order`() =
        withPair { local, remote ->
            val sent = Random(1).nextBytes(8 * 1_024 * 1_024)
            loop.launchBody { local.write(ByteBuffer.wrap(sent)) }
            assertArrayEquals(sent, remote.readFully(sent.size))
        }

    @Test
    fun `given bytes both ways at once, when each end reads and writes, then neither waits for the other`() =
        withPair { local, remote ->
            val sent = Random(1).nextBytes(1_024 * 1_024)
            loop.launchBody { local.write(ByteBuffer.wrap(sent)) }
            loop.launchBody { remote.write(ByteBuffer.wrap(sent)) }
            assertArrayEquals(sent, local.readFully(sent.size))
            assertArrayEquals(sent, remote.readFully(sent.size))
        }

    @Test
    fun `given an end that closes, when the other reads, then it gets what was sent and then the end`() =
        withPair { local, remote ->
            local.write(ByteBuffer.wrap(byteArrayOf(1, 2, 3)))
            local.close()
            assertArrayEquals(byteArrayOf(1, 2, 3), remote.readFully(4))
            assertEquals(-1, remote.read(ByteBuffer.allocate(1)))
        }

    @Test
    fun `given a reader that waits, when its own end is closed, then it fails`() =
        withPair { local, _ ->
            val failure = CompletableDeferred<Throwable?>()
            loop.launchBody { failure.complete(runCatching { local.read(ByteBuffer.allocate(1)) }.exceptionOrNull()) }
            yield()
            local.close()
            assertEquals(true, failure.await() is IOException)
            assertEquals(true, runCatching { local.read(ByteBuffer.allocate(1)) }.exceptionOrNull() is IOException)
        }

    @Test
    fun `given a reader that was cancelled, when bytes come, then the next reader gets them`() =
        withPair { local, remote ->
            loop.launchBody { remote.read(ByteBuffer.allocate(1)) }.let {
                yield()
                it.cancelAndJoin()
            }
            local.write(ByteBuffer.wrap(byteArrayOf(7)))
            assertArrayEquals(byteArrayOf(7), remote.readFully(1))
        }

    @Test
    fun `given many connections, when each sends, then each is answered`() =
        runBlocking(loop) {
            val server = LoopServer.bind(loop, HOST, 0)
            val accepting = launch { server.acceptAll { socket -> loop.launchBody { echo(socket) } } }
            val answers =
                List(200) { number ->
                    async {
                        val socket = LoopSocket.connect(loop, NodeAddress(HOST, server.port))
                        socket.write(ByteBuffer.wrap(byteArrayOf(number.toByte())))
                        socket.readFully(1).single().also { socket.close() }
                    }
                }.map { it.await() }
            assertEquals(List(200) { it.toByte() }, answers)
            server.close()
            accepting.join()
        }

    private suspend fun echo(socket: LoopSocket) {
        socket.write(ByteBuffer.wrap(socket.readFully(1)))
        socket.close()
    }

    @Test
    fun `given an address where nothing listens, when it is dialled, then the connection is refused`() {
        val port = ServerSocket(0).use { it.localPort }
        assertThrows<ConnectException> { runBlocking(loop) { LoopSocket.connect(loop, NodeAddress(HOST, port)) } }
    }

    @Test
    fun `given a name without an address, when it is dialled, then it is unknown`() {
        assertThrows(UnknownHostException::class.java) {
            runBlocking { LoopSocket.connect(loop, NodeAddress("no-such-host.invalid", 1)) }
        }
    }

    @Test
    fun `given an address in use, when it is bound again, then that is refused`() {
        runBlocking { LoopServer.bind(loop, HOST, 0) }.let { first ->
            assertThrows<BindException> { runBlocking { LoopServer.bind(loop, HOST, first.port) } }
        }
    }

    private fun EventLoop.launchBody(body: suspend () -> Unit): Job = CoroutineScope(this).launch { body() }

    private companion object {
        const val HOST = "127.0.0.1"
        const val DEADLINE_MILLIS = 60_000L
    }
}
