package io.egretlock.agent

import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.event
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Welcome
import io.egretlock.sockets.EventLoop
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.SendChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/**
 * Keeps a connection to one address of an entry open. Dials again after a connection ends, and dials a second one while
 * the first has been silent for half of [LinkTiming.silenceMillis]. The second replaces the first once the entry has
 * answered it with a [Welcome].
 */
internal class EntryDialer(
    private val address: NodeAddress,
    private val timing: LinkTiming,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val commands: SendChannel<AgentCommand>,
) {
    /** Runs until the agent answers [DialPermission.Stop]. */
    suspend fun run() {
        var failures = 0
        while (true) {
            when (val permission = requestPermission()) {
                is DialPermission.Stop -> return
                is DialPermission.Wait -> delay(LONGEST_BACKOFF_MILLIS)
                is DialPermission.Dial -> {
                    val connected = connect(permission.hello)
                    connected?.let { stayConnected(it) }
                    failures = if (connected == null) failures + 1 else 0
                    delay(backoffMillis(failures))
                }
            }
        }
    }

    private suspend fun stayConnected(first: ActiveConnection) {
        var current = first
        while (current.forwarding.isActive) {
            withTimeoutOrNull(timing.heartbeatMillis) { current.forwarding.join() }
            if (current.forwarding.isActive && current.connection.link.isSuspect) current = replace(current)
        }
    }

    private suspend fun replace(silent: ActiveConnection): ActiveConnection {
        val permission = requestPermission() as? DialPermission.Dial ?: return silent
        logger.event(AgentEvent.ENTRY_SILENT, "entry" to silent.connection.entry, "address" to address)
        val second = connect(permission.hello) ?: return silent
        silent.connection.link.close()
        return second
    }

    private suspend fun requestPermission(): DialPermission {
        val reply = CompletableDeferred<DialPermission>()
        commands.send(DialRequested(address, reply))
        return reply.await()
    }

    private suspend fun connect(hello: AgentHello): ActiveConnection? {
        val link = dial() ?: return null
        link.send(hello)
        val first = withTimeoutOrNull(timing.silenceMillis) { link.incoming.receiveCatching().getOrNull() }
        if (first !is Welcome) {
            link.close()
            return null
        }
        val connection = EntryConnection(first.entry, address, link)
        commands.send(EntryConnected(connection, hello, first))
        return ActiveConnection(connection, scope.launch { forwardMessages(connection) })
    }

    private suspend fun forwardMessages(connection: EntryConnection) {
        try {
            for (message in connection.link.incoming) commands.send(EntryMessage(connection, message))
        } finally {
            connection.link.close()
            commands.trySend(EntryDisconnected(connection))
        }
    }

    private suspend fun dial(): Link? =
        try {
            Link.dial(address, loop, scope, timing)
        } catch (unreachable: IOException) {
            logger.debug { "Entry at $address is unreachable: $unreachable" }
            null
        } catch (late: TimeoutCancellationException) {
            logger.debug { "Entry at $address did not accept the connection in time: $late" }
            null
        }

    private fun backoffMillis(failures: Int): Long {
        val longest =
            (SHORTEST_BACKOFF_MILLIS shl failures.coerceAtMost(LARGEST_SHIFT)).coerceAtMost(LONGEST_BACKOFF_MILLIS)
        return Random.nextLong(longest / 2, longest + 1)
    }

    private data class ActiveConnection(
        val connection: EntryConnection,
        val forwarding: Job,
    )

    private companion object {
        const val SHORTEST_BACKOFF_MILLIS = 50L
        const val LONGEST_BACKOFF_MILLIS = 1_000L
        const val LARGEST_SHIFT = 10
    }
}
