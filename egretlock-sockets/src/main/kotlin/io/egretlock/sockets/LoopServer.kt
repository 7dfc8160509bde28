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

/** A bound TCP address of an [EventLoop] that accepts connections. */
class LoopServer private constructor(
    private val loop: EventLoop,
    private val channel: ServerSocketChannel,
    private val readiness: Readiness,
) {
    /** Port that was bound; useful where port 0 was asked for. */
    val port: Int = (channel.localAddress as InetSocketAddress).port

    /** Passes each connection to [handle] until the server is closed; for a coroutine of the loop. */
    suspend fun acceptAll(handle: (LoopSocket) -> Unit) {
        while (true) {
            try {
                handle(accept())
            } catch (closed: ClosedChannelException) {
                logger.debug { "Stopped accepting: $closed" }
                return
            } catch (failure: IOException) {
                logger.warn { "A connection could not be accepted: $failure" }
                delay(RETRY_MILLIS)
            }
        }
    }

    /** Accepts no more; connections that are open stay. Idempotent, and allowed on any thread. */
    fun close() = loop.post { readiness.close() }

    private suspend fun accept(): LoopSocket {
        while (true) {
            val accepted = channel.accept()
            if (accepted != null) return LoopSocket.open(loop, accepted)
            readiness.await(SelectionKey.OP_ACCEPT)
        }
    }

    companion object {
        /** Connections that may wait to be accepted; a system drops the opening packets of further ones. */
        private const val BACKLOG = 512

        /** Pause after a failure to accept, such as too many open files. */
        private const val RETRY_MILLIS = 50L

        /** Binds [host] and [port]; port 0 takes any free one. Throws [java.net.BindException] if it is in use. */
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
