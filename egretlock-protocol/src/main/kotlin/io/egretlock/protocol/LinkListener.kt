package io.egretlock.protocol

import io.egretlock.core.roster.NodeAddress
import io.egretlock.sockets.EventLoop
import io.egretlock.sockets.LoopServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Accepts connections from other processes and launches a handler for each. */
class LinkListener private constructor(
    private val server: LoopServer,
) {
    /** Bound port, which differs from the requested one if that was 0. */
    val port: Int
        get() = server.port

    /** Stops accepting connections; accepted ones stay open. */
    fun close() = server.close()

    companion object {
        /** Binds [address]; port 0 selects any free port. Throws [java.io.IOException] if it is in use. */
        suspend fun bind(
            address: NodeAddress,
            loop: EventLoop,
            scope: CoroutineScope,
            timing: LinkTiming = LinkTiming(),
            handler: suspend (Link) -> Unit,
        ): LinkListener {
            val server = LoopServer.bind(loop, address.host, address.port)
            scope.launch(loop) {
                server.acceptAll { socket ->
                    val link = Link(socket, timing, loop, scope)
                    scope.launch { handler(link) }
                }
            }
            return LinkListener(server)
        }
    }
}
