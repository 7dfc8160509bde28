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
 * Keeps one address of an entry connected: dials it, dials again after the connection ended, and dials a second
 * connection while the first has been silent for half of the silence limit. The second replaces the first once the
 * entry has welcomed it.
 */
internal class EntryDialer(
    private val address: NodeAddress,
    private val timing: LinkTiming,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val commands: SendChannel<AgentCommand>,
) {
    /** Runs until the agent says that the address is not to be dialled any more. */
    suspend fun run() {
        var failures = 0
        while (true) {
            when (val permission = requestPermission()) {
                is DialPermission.Stop -> return
                is DialPermission.Wait -> delay(LONGEST_PAUSE_MILLIS)
                is DialPermission.Dial -> {
                    val connected = connect(permission.hello)
                    connected?.let { stayConnected(it) }
                    failures = if (connected == null) failures + 1 else 0
                    delay(pauseMillis(failures))
                }
            }
        }
    }

    private suspend fun stayConnected(first: Connected) {
        var current = first
        while (current.pump.isActive) {
            withTimeoutOrNull(timing.heartbeatMillis) { current.pump.join() }
            if (current.pump.isActive && current.connection.link.isDoubtful) current = replace(current)
        }
    }

    private suspend fun replace(doubtful: Connected): Connected {
        val permission = requestPermission() as? DialPermission.Dial ?: return doubtful
        logger.event(AgentEvent.ENTRY_IN_DOUBT, "entry" to doubtful.connection.entry, "address" to address)
        val second = connect(permission.hello) ?: return doubtful
        doubtful.connection.link.close()
        return second
    }

    private suspend fun requestPermission(): DialPermission {
        val reply = CompletableDeferred<DialPermission>()
        commands.send(DialRequested(address, reply))
        return reply.await()
    }

    private suspend fun connect(hello: AgentHello): Connected? {
        val link = dial() ?: return null
        link.send(hello)
        val first = withTimeoutOrNull(timing.silenceMillis) { link.incoming.receiveCatching().getOrNull() }
        if (first !is Welcome) {
            link.close()
            return null
        }
        val connection = EntryConnection(first.entry, address, link)
        commands.send(EntryConnected(connection, hello, first))
        return Connected(connection, scope.launch { pump(connection) })
    }

    private suspend fun pump(connection: EntryConnection) {
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
            logger.debug { "Entry at $address does not answer: $late" }
            null
        }

    private fun pauseMillis(failures: Int): Long {
        val longest =
            (
                SHORTEST_PAUSE_MILLIS shl
                    failures.coerceAtMost(
                        LARGEST_SHIFT,
                    )
            ).coerceAtMost(LONGEST_PAUSE_MILLIS)
        return Random.nextLong(longest / 2, longest + 1)
    }

    private data class Connected(
        val connection: EntryConnection,
        val pump: Job,
    )

    private companion object {
        const val SHORTEST_PAUSE_MILLIS = 50L
        const val LONGEST_PAUSE_MILLIS = 1_000L
        const val LARGEST_SHIFT = 10
    }
}
