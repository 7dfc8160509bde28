package io.egretlock.sockets

import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import java.nio.channels.ServerSocketChannel

private val logger = KotlinLogging.logger {}

/** A TCP server socket of an [EventLoop]. */
class LoopServer private constructor(
    private val loop: EventLoop,
    private val channel: ServerSocketChannel,
    private val readiness: SocketReadiness,
) {
    /** Bound port; if port 0 was requested, the one that the system chose. */
    val port: Int = (channel.localAddress as InetSocketAddress).port

    /** Passes each connection to [handle] until the server is closed; called by a coroutine of the loop. */
    suspend fun acceptAll(handle: (LoopSocket) -> Unit) {
        while (true) {
            try {
                handle(accept())
            } catch (closed: ClosedChannelException) {
                logger.debug { "Server socket closed, no longer accepting connections: $closed" }
                return
            } catch (failure: IOException) {
                logger.warn { "Failed to accept a connection: $failure" }
                delay(RETRY_MILLIS)
            }
        }
    }

    /** Stops accepting; open connections stay open. Idempotent, and callable on any thread. */
    fun close() = loop.post { readiness.close() }

    private suspend fun accept(): LoopSocket {
        while (true) {
            val accepted = channel.accept()
            if (accepted != null) return LoopSocket.open(loop, accepted)
            readiness.await(SelectionKey.OP_ACCEPT)
        }
    }

    companion object {
        /** Connections that may wait to be accepted; the system drops the SYN packets of further ones. */
        private const val BACKLOG = 512

        /** Delay after a failure to accept, such as too many open files. */
        private const val RETRY_MILLIS = 50L

        /** Binds [host] and [port]; port 0 selects a free one. Throws [java.net.BindException] if it is in use. */
        suspend fun bind(
            loop: EventLoop,
            host: String,
            port: Int,
        ): LoopServer =
            withContext(loop) {
                val channel = ServerSocketChannel.open()
                try {
                    channel.setOption(StandardSocketOptions.SO_REUSEADDR, true)
                    channel.bind(InetSocketAddress(host, port), BACKLOG)
                    LoopServer(loop, channel, loop.register(channel))
                } catch (failure: IOException) {
                    channel.close()
                    throw failure
                }
            }
    }
}
