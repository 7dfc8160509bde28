package io.egretlock.testing.link

import io.egretlock.core.roster.NodeAddress
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

class FaultyLinkTest {
    private val server = ServerSocket(0, 10, InetAddress.getByName("127.0.0.1"))
    private val link = FaultyLink(NodeAddress("127.0.0.1", server.localPort))

    init {
        thread(isDaemon = true) {
            runCatching { while (true) echo(server.accept()) }
        }
    }

    @AfterEach
    fun stop() {
        link.close()
        server.close()
    }

    @Test
    fun `given a healthy connection, when a byte is sent, then it is echoed`() {
        assertEquals(7, dial().exchange(7))
    }

    @Test
    fun `given a silenced connection, when a byte is sent, then nothing comes back and new connections work`() {
        val old = dial()
        assertEquals(7, old.exchange(7))
        link.silence()
        assertUnanswered(old)
        assertEquals(9, dial().exchange(9))
    }

    @Test
    fun `given a connection silent one way, when a byte is sent, then its echo does not come back`() {
        val old = dial()
        assertEquals(7, old.exchange(7))
        link.silence(setOf(LinkDirection.TO_CLIENT))
        assertUnanswered(old)
    }

    @Test
    fun `given a cut, when read, then the connection has ended`() {
        val old = dial()
        assertEquals(7, old.exchange(7))
        link.cut()
        assertEquals(-1, old.getInputStream().read())
    }

    private fun dial() = Socket(link.address.host, link.address.port)

    private fun assertUnanswered(connection: Socket) {
        connection.soTimeout = 300
        assertThrows(SocketTimeoutException::class.java) { connection.exchange(8) }
    }

    private fun Socket.exchange(byte: Int): Int {
        getOutputStream().write(byte)
        return getInputStream().read()
    }

    private fun echo(socket: Socket) =
        thread(isDaemon = true) {
            runCatching { socket.getInputStream().copyTo(socket.getOutputStream(), bufferSize = 1) }
        }
}
