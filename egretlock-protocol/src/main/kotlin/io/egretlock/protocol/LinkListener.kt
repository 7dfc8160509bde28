package io.egretlock.protocol

import io.egretlock.core.roster.NodeAddress
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import java.io.IOException

private val logger = KotlinLogging.logger {}

/** Accepts connections of other processes and hands each to a handler of its own. */
class LinkListener private constructor(
    private val socket: ServerSocket,
    private val timing: LinkTiming,
    private val scope: CoroutineScope,
    private val handler: suspend (Link) -> Unit,
) {
    /** Port that was bound; useful where port 0 was asked for. */
    val port: Int = (socket.localAddress as InetSocketAddress).port

    init {
        scope.launch { acceptAll() }
    }

    /** Stops accepting; open connections stay. */
    fun close() = socket.close()

    private suspend fun acceptAll() {
        while (true) {
            val connection = acceptOne() ?: return
            val link = Link(connection, timing, scope)
            scope.launch { handler(link) }
        }
    }

    private suspend fun acceptOne(): Socket? =
        try {
            socket.accept()
        } catch (closed: IOException) {
            logger.debug { "Stopped accepting: $closed" }
            null
        }

    companion object {
        /** Binds [address]; port 0 takes any free one. Throws [java.io.IOException] if it is in use. */
        suspend fun bind(
            address: NodeAddress,
            selector: SelectorManager,
            scope: CoroutineScope,
            timing: LinkTiming = LinkTiming(),
            handler: suspend (Link) -> Unit,
        ): LinkListener {
            val socket = aSocket(selector).tcp().bind(address.host, address.port) { reuseAddress = true }
            return LinkListener(socket, timing, scope, handler)
        }
    }
}
