package io.egretlock.testing.link

import io.egretlock.core.roster.NodeAddress
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Direction of the bytes on a connection; the client is the side that opened it. */
enum class LinkDirection { TO_SERVER, TO_CLIENT }

/**
 * A TCP proxy in front of [server] that can drop the bytes of its open connections without closing or resetting them,
 * while new connections work.
 */
class FaultyLink(
    private val server: NodeAddress,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val connections = CopyOnWriteArrayList<Connection>()

    /** Address of the proxy, which clients connect to instead of [server]. */
    val address = NodeAddress(LOOPBACK, listener.localPort)

    /** Number of open connections that drop bytes in neither direction. */
    val activeConnectionCount: Int
        get() = connections.count { it.silentDirections.isEmpty() }

    init {
        thread(isDaemon = true, name = "faulty-link-$address") { accept() }
    }

    /** Drops all further bytes of the connections that are open now in [directions], permanently. */
    fun silence(directions: Set<LinkDirection> = LinkDirection.entries.toSet()) {
        connections.forEach { it.silentDirections = it.silentDirections + directions }
    }

    /** Closes every connection that is open now. */
    fun cut() = connections.forEach { it.close() }

    override fun close() {
        listener.close()
        cut()
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                open(listener.accept())
            } catch (_: IOException) {
                continue
            }
        }
    }

    private fun open(client: Socket) {
        val upstream = Socket()
        try {
            upstream.connect(InetSocketAddress(server.host, server.port), CONNECT_MILLIS)
        } catch (failure: IOException) {
            client.close()
            throw failure
        }
        connections += Connection(client, upstream).also { it.start() }
    }

    private inner class Connection(
        private val client: Socket,
        private val upstream: Socket,
    ) {
        @Volatile
        var silentDirections: Set<LinkDirection> = emptySet()

        fun start() {
            client.tcpNoDelay = true
            upstream.tcpNoDelay = true
            thread(isDaemon = true) { forward(client, upstream, LinkDirection.TO_SERVER) }
            thread(isDaemon = true) { forward(upstream, client, LinkDirection.TO_CLIENT) }
        }

        fun close() {
            connections -= this
            client.close()
            upstream.close()
        }

        private fun forward(
            source: Socket,
            target: Socket,
            direction: LinkDirection,
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                var count = source.getInputStream().read(buffer)
                while (count >= 0) {
                    if (direction !in silentDirections) target.getOutputStream().write(buffer, 0, count)
                    count = source.getInputStream().read(buffer)
                }
            } catch (_: IOException) {
                // One side has closed its connection; unless [direction] is silent, both are closed below.
            }
            if (direction !in silentDirections) close()
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BACKLOG = 100
        const val CONNECT_MILLIS = 1_000
        const val BUFFER_BYTES = 65_536
    }
}
