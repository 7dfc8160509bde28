package io.egretlock.sockets

import io.egretlock.core.roster.NodeAddress
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.net.UnknownHostException
import java.nio.ByteBuffer
import java.nio.channels.SelectionKey
import java.nio.channels.SocketChannel

/**
 * A TCP connection of an [EventLoop]. Only coroutines of the loop read and write, one reader and one writer at a time;
 * both operations throw [java.io.IOException] once the connection has ended.
 */
class LoopSocket internal constructor(
    private val loop: EventLoop,
    private val channel: SocketChannel,
    private val readiness: SocketReadiness,
) {
    /** Whether the last read filled its buffer, so that more bytes may be available without waiting. */
    private var mayHaveMore = false

    /** Reads the available bytes, at least one, into [buffer]; returns -1 once the remote end has closed. */
    suspend fun read(buffer: ByteBuffer): Int {
        require(buffer.hasRemaining()) { "The buffer to read into has no space left." }
        while (true) {
            if (!mayHaveMore) readiness.await(SelectionKey.OP_READ)
            val count = channel.read(buffer)
            mayHaveMore = !buffer.hasRemaining()
            if (count != 0) return count
        }
    }

    /** Writes all of [buffer]. */
    suspend fun write(buffer: ByteBuffer) {
        while (true) {
            channel.write(buffer)
            if (!buffer.hasRemaining()) return
            readiness.await(SelectionKey.OP_WRITE)
        }
    }

    /** Closes the connection; idempotent, and callable on any thread. */
    fun close() = loop.post { readiness.close() }

    companion object {
        /** Opens a connection to [address]; throws [java.io.IOException] if that fails. */
        suspend fun connect(
            loop: EventLoop,
            address: NodeAddress,
        ): LoopSocket {
            val remote = resolve(address)
            return withContext(loop) {
                val socket = open(loop, SocketChannel.open())
                var isConnected = false
                try {
                    socket.finishConnecting(remote)
                    isConnected = true
                } finally {
                    if (!isConnected) socket.close()
                }
                socket
            }
        }

        internal fun open(
            loop: EventLoop,
            channel: SocketChannel,
        ): LoopSocket {
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                return LoopSocket(loop, channel, loop.register(channel))
            } catch (failure: IOException) {
                channel.close()
                throw failure
            }
        }

        /** Resolves host names on a thread that may block; literal IP addresses need no lookup. */
        private suspend fun resolve(address: NodeAddress): InetSocketAddress {
            val resolved =
                if (isLiteralAddress(address.host)) {
                    InetSocketAddress(address.host, address.port)
                } else {
                    withContext(Dispatchers.IO) { InetSocketAddress(address.host, address.port) }
                }
            if (resolved.isUnresolved) throw UnknownHostException("${address.host} has no known address.")
            return resolved
        }

        /** Whether [host] is a valid IPv4 address, or an IPv6 address, which is the only kind that has colons. */
        private fun isLiteralAddress(host: String): Boolean {
            val parts = host.split('.')
            val isVersion4 = parts.size == VERSION_4_PARTS && parts.all { it.toUByteOrNull() != null }
            return isVersion4 || ':' in host
        }

        private const val VERSION_4_PARTS = 4
    }

    private suspend fun finishConnecting(remote: InetSocketAddress) {
        if (channel.connect(remote)) return
        do readiness.await(SelectionKey.OP_CONNECT) while (!channel.finishConnect())
    }
}
