package io.egretlock.testing.link

import io.egretlock.core.roster.NodeAddress
import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Direction of the bytes on a connection, seen from whoever dialled. */
enum class LinkDirection { TO_SERVER, TO_CLIENT }

/**
 * A TCP proxy in front of [server] that can lose track of its open connections: what is sent on them vanishes, without
 * a reset or an end, while new connections work.
 */
class FaultyLink(
    private val server: NodeAddress,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK))
    private val connections = CopyOnWriteArrayList<Connection>()

    /** Where to dial instead of [server]. */
    val address = NodeAddress(LOOPBACK, listener.localPort)

    /** Connections that are open and not silent. */
    val audibleCount: Int
        get() = connections.count { it.silent.isEmpty() }

    init {
        thread(isDaemon = true, name = "faulty-link-$address") { accept() }
    }

    /** Makes every connection that is open now silent for good in [directions]. */
    fun silence(directions: Set<LinkDirection> = LinkDirection.entries.toSet()) {
        connections.forEach { it.silent = it.silent + directions }
    }

    /** Ends every connection that is open now. */
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
        var silent: Set<LinkDirection> = emptySet()

        fun start() {
            client.tcpNoDelay = true
            upstream.tcpNoDelay = true
            thread(isDaemon = true) { pump(client, upstream, LinkDirection.TO_SERVER) }
            thread(isDaemon = true) { pump(upstream, client, LinkDirection.TO_CLIENT) }
        }

        fun close() {
            connections -= this
            client.close()
            upstream.close()
        }

        private fun pump(
            source: Socket,
            target: Socket,
            direction: LinkDirection,
        ) {
            val buffer = ByteArray(BUFFER_BYTES)
            try {
                var count = source.getInputStream().read(buffer)
                while (count >= 0) {
                    if (direction !in silent) target.getOutputStream().write(buffer, 0, count)
                    count = source.getInputStream().read(buffer)
                }
            } catch (_: IOException) {
                // One end is gone; whether the other learns of it is decided below.
            }
            if (direction !in silent) close()
        }
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val BACKLOG = 100
        const val CONNECT_MILLIS = 1_000
        const val BUFFER_BYTES = 65_536
    }
}
