package io.egretlock.protocol

import io.egretlock.core.roster.NodeAddress
import io.egretlock.sockets.EventLoop
import io.egretlock.sockets.LoopServer
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Accepts connections of other processes and hands each to a handler of its own. */
class LinkListener private constructor(
    private val server: LoopServer,
) {
    /** Port that was bound; useful where port 0 was asked for. */
    val port: Int
        get() = server.port

    /** Stops accepting; open connections stay. */
    fun close() = server.close()

    companion object {
        /** Binds [address]; port 0 takes any free one. Throws [java.io.IOException] if it is in use. */
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
