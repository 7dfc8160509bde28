package io.egretlock.protocol

import io.egretlock.core.job.JobId
import io.egretlock.core.job.TaskId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.DataInputStream
import java.io.DataOutputStream
import java.net.ServerSocket
import java.net.Socket
import kotlin.concurrent.thread

class LinkTest {
    @Test
    fun `given two connected links, when messages are sent, then they arrive whole and in order`() =
        withLinkPair { dialed, remote ->
            val sent = (0 until 500).map { index -> Cancel(TaskId(JobId("job"), index)) }
            sent.forEach { message -> dialed.send(message) }
            assertEquals(sent, List(sent.size) { remote.incoming.receive() })
        }

    @Test
    fun `given two connected links, when one closes, then the other's incoming messages end`() =
        withLinkPair { dialed, remote ->
            dialed.close()
            assertNull(remote.incoming.receiveCatching().getOrNull())
        }

    @Test
    fun `given a peer that sends but confirms nothing, when the silence limit has passed, then messages end`() =
        runBlocking(Dispatchers.Default) {
            EventLoop("test").use { loop ->
                ServerSocket(0).use { server ->
                    val sender = thread(isDaemon = true) { sendHeartbeatsForever(server.accept()) }
                    val timing = LinkTiming(heartbeatMillis = 20, silenceMillis = 300)
                    val link = Link.dial(NodeAddress("127.0.0.1", server.localPort), loop, this, timing)
                    withTimeout(DEADLINE_MILLIS) { assertNull(link.incoming.receiveCatching().getOrNull()) }
                    sender.interrupt()
                }
            }
        }

    @Test
    fun `given an idle connection, when one end becomes busy, then its heartbeats follow at the shorter interval`() =
        runBlocking(Dispatchers.Default) {
            EventLoop("test").use { loop ->
                ServerSocket(0).use { server ->
                    val timing =
                        LinkTiming(
                            heartbeatMillis = 20,
                            silenceMillis = DEADLINE_MILLIS,
                            idleHeartbeatMillis = DEADLINE_MILLIS,
                        )
                    val link = Link.dial(NodeAddress("127.0.0.1", server.localPort), loop, this, timing)
                    server.accept().use { peer ->
                        assertFalse(answerHeartbeats(peer, count = 1).single().isBusy)
                        withContext(loop) { link.markBusy() }
                        val busy = withTimeout(DEADLINE_MILLIS) { answerHeartbeats(peer, count = 3) }
                        assertTrue(busy.all { it.isBusy })
                    }
                    link.close()
                }
            }
        }

    @Test
    fun `given an idle connection, when heartbeats are exchanged, then each end sends one per interval and no reply`() =
        runBlocking(Dispatchers.Default) {
            EventLoop("test").use { loop ->
                ServerSocket(0).use { server ->
                    val timing = LinkTiming(heartbeatMillis = 20, silenceMillis = 300)
                    val link = Link.dial(NodeAddress("127.0.0.1", server.localPort), loop, this, timing)
                    val answered =
                        withTimeout(DEADLINE_MILLIS) { server.accept().use { answerHeartbeats(it, count = 40) } }
                    assertEquals((1L..40L).toList(), answered.map { it.sequence })
                    assertEquals(answered.map { it.heard }.sorted(), answered.map { it.heard })
                    link.close()
                }
            }
        }

    /** Answers each of [count] heartbeats with one that confirms it; 40 take longer than twice the silence limit. */
    private suspend fun answerHeartbeats(
        socket: Socket,
        count: Int,
    ): List<Heartbeat> =
        withContext(Dispatchers.IO) {
            val input = DataInputStream(socket.getInputStream())
            val output = DataOutputStream(socket.getOutputStream())
            List(count) { index ->
                val heartbeat = MessageCodec.decode(input.readNBytes(input.readInt())) as Heartbeat
                val frame = MessageCodec.encode(Heartbeat(index + 1L, heard = heartbeat.sequence))
                output.writeInt(frame.size)
                output.write(frame)
                heartbeat
            }
        }

    private fun sendHeartbeatsForever(socket: Socket) =
        socket.use {
            val output = DataOutputStream(it.getOutputStream())
            val frame = MessageCodec.encode(Heartbeat(1))
            runCatching {
                while (true) {
                    output.writeInt(frame.size)
                    output.write(frame)
                    Thread.sleep(10)
                }
            }
        }

    private fun withLinkPair(body: suspend (Link, Link) -> Unit) =
        runBlocking(Dispatchers.Default) {
            EventLoop("test").use { loop ->
                val accepted = CompletableDeferred<Link>()
                val listener =
                    LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, this) { link -> accepted.complete(link) }
                val dialed = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, this)
                val remote = withTimeout(DEADLINE_MILLIS) { accepted.await() }
                withTimeout(DEADLINE_MILLIS) { body(dialed, remote) }
                dialed.close()
                remote.close()
                listener.close()
            }
        }

    private companion object {
        const val DEADLINE_MILLIS = 10_000L
    }
}
