package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress
import io.egretlock.platform.http.HttpServer
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.job
import kotlinx.coroutines.withContext
import java.net.BindException

/**
 * An upstream at one [address] through all its incarnations. Each is a [PlatformUpstreamStandIn] of its own, made by
 * [incarnation], and has connections of its own.
 */
class PlatformUpstream internal constructor(
    val address: NodeAddress,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val incarnation: () -> PlatformUpstreamStandIn,
) {
    private var connections: Job? = null
    private var server: HttpServer? = null
    private var heartbeats = 0L

    /** The incarnation that runs; null while there is none. */
    @Volatile
    var current: PlatformUpstreamStandIn? = null
        private set

    /** Starts an incarnation, which closes the connections to the earlier one. */
    suspend fun start() =
        withContext(loop) {
            disconnect()
            val next = incarnation()
            val job = SupervisorJob(scope.coroutineContext.job)
            connections = job
            server = bind(CoroutineScope(scope.coroutineContext + job), next)
            heartbeats = 0
            current = next
        }

    /**
     * Ends the incarnation and all its runs. If [isSilent], its connections and new ones get no answer until the next
     * start; otherwise, they are closed and refused.
     */
    suspend fun end(isSilent: Boolean) =
        withContext(loop) {
            current?.end()
            current = null
            if (!isSilent) disconnect()
        }

    /** The next heartbeat of the current incarnation; null if there is none. */
    internal fun nextHeartbeat(service: String): String? = current?.heartbeat(service, "$address", ++heartbeats)

    private fun disconnect() {
        server?.close()
        connections?.cancel()
    }

    /** Binds the address, also if the event loop has not yet closed the earlier server's socket. */
    private suspend fun bind(
        connectionScope: CoroutineScope,
        next: PlatformUpstreamStandIn,
    ): HttpServer {
        while (true) {
            try {
                return HttpServer.bind(address.host, address.port, loop, connectionScope, next::answer)
            } catch (inUse: BindException) {
                println("$address is still in use: ${inUse.message}")
                delay(RETRY_MILLIS)
            }
        }
    }

    private companion object {
        const val RETRY_MILLIS = 5L
    }
}
