package io.egretlock.entry

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.process.event
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.protocol.ReplyMessage
import io.egretlock.protocol.Welcome
import io.egretlock.sockets.EventLoop
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import java.net.ConnectException

private val logger = KotlinLogging.logger {}

/**
 * The connection to another entry, dialled again whenever it ends. Requests are pending across connections and are sent
 * again on each: the other entry joins a job by its id, so a repeated request does no harm.
 */
internal class PeerConnection(
    private val member: EntryMember,
    private val hello: EntryHello,
    private val listener: PeerListener,
    private val loop: EventLoop,
    private val timing: LinkTiming,
    private val scope: CoroutineScope,
) {
    private val commands = Channel<Command>(Channel.UNLIMITED)
    private val pending = linkedMapOf<Long, Command.Call>()
    private var unreachableSinceNanos: Long? = null
    private var isWelcomed = false
    private var task: Job? = null

    /** Starts dialling. */
    fun start() {
        task = scope.launch { run() }
    }

    /** Ends the connection; pending calls get null. */
    fun stop() {
        commands.trySend(Command.Stop)
    }

    /** Sends a request and waits for its reply; null if the entry is unreachable for too long, or after [stop]. */
    suspend fun call(
        request: Long,
        message: Message,
    ): Message? {
        val call = Command.Call(request, message, CompletableDeferred())
        if (commands.trySend(call).isFailure) return null
        return call.reply.await()
    }

    /** Drops the pending call of [request], whose reply is no longer awaited. */
    fun abandon(request: Long) {
        commands.trySend(Command.Abandon(request))
    }

    /** Sends a message that has no reply; it is dropped while the entry is not connected. */
    fun tell(message: Message) {
        commands.trySend(Command.Tell(message))
    }

    private suspend fun run() {
        while (true) {
            isWelcomed = false
            dial()?.let { serve(it) }
            if (!isWelcomed) handleUnreachable()
        }
    }

    private suspend fun dial(): Link? =
        try {
            Link.dial(member.address, loop, scope, timing)
        } catch (timeout: TimeoutCancellationException) {
            logger.debug { "Entry '${member.entry}' did not accept the connection in time: $timeout" }
            listener.unreachable(member.entry, hasEnded = false)
            null
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (refusal: ConnectException) {
            logger.debug { "Entry '${member.entry}' refused the connection: $refusal" }
            listener.unreachable(member.entry, hasEnded = REFUSED in refusal.message.orEmpty())
            null
        } catch (failure: Exception) {
            logger.debug { "Entry '${member.entry}' cannot be dialled: $failure" }
            listener.unreachable(member.entry, hasEnded = false)
            null
        }

    /**
     * Handles a dial that failed, or a connection that ended without a [Welcome]: another process may accept
     * connections at the entry's address and close them at once.
     */
    private suspend fun handleUnreachable() {
        handleQueued()
        val since = unreachableSinceNanos ?: System.nanoTime().also { unreachableSinceNanos = it }
        if (System.nanoTime() - since > timing.silenceMillis * NANOS_PER_MILLI) failPending()
        delay(REDIAL_DELAY_MILLIS)
    }

    private fun handleQueued() {
        var command = commands.tryReceive().getOrNull()
        while (command != null) {
            handle(command)
            command = commands.tryReceive().getOrNull()
        }
    }

    private fun failPending() {
        pending.values.forEach { it.reply.complete(null) }
        pending.clear()
    }

    private suspend fun serve(link: Link) {
        link.send(hello)
        listener.openingMessages().forEach { link.send(it) }
        pending.values.forEach { link.send(it.message) }
        logger.event(EntryEvent.PEER_CONNECTED, "peer" to member.entry)
        try {
            while (serveOne(link)) Unit
        } finally {
            link.close()
        }
        listener.unreachable(member.entry, hasEnded = false)
        logger.event(EntryEvent.PEER_DISCONNECTED, "peer" to member.entry)
    }

    private suspend fun serveOne(link: Link): Boolean =
        select {
            link.incoming.onReceiveCatching { received ->
                received.getOrNull()?.let(::received)
                received.isSuccess
            }
            commands.onReceive { command ->
                handle(command)?.let { link.send(it) }
                true
            }
        }

    /** Handles a command and returns the message to send for it, if any. */
    private fun handle(command: Command): Message? =
        when (command) {
            is Command.Call -> {
                pending[command.request] = command
                command.message
            }
            is Command.Abandon -> {
                pending.remove(command.request)
                null
            }
            is Command.Tell -> command.message
            is Command.Stop -> {
                shutDown()
                null
            }
        }

    /** Rejects further commands and completes all pending calls, so that none waits forever. */
    private fun shutDown() {
        commands.close()
        handleQueued()
        failPending()
        task?.cancel()
    }

    private fun received(message: Message) {
        when (message) {
            is ReplyMessage -> pending.remove(message.request)?.reply?.complete(message)
            is Welcome -> welcomed(message)
            else -> listener.received(message)
        }
    }

    /** Another incarnation at the member's address proves that the member's process has ended. */
    private fun welcomed(welcome: Welcome) {
        isWelcomed = true
        unreachableSinceNanos = null
        if (welcome.entry == member.entry) {
            listener.reachable(member.entry)
        } else {
            listener.unreachable(member.entry, hasEnded = true)
        }
        listener.received(welcome)
    }

    private sealed interface Command {
        data class Call(
            val request: Long,
            val message: Message,
            val reply: CompletableDeferred<Message?>,
        ) : Command

        data class Abandon(
            val request: Long,
        ) : Command

        data object Stop : Command

        data class Tell(
            val message: Message,
        ) : Command
    }

    private companion object {
        const val REFUSED = "refused"
        const val REDIAL_DELAY_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Listener for the events of the connections to peers. */
internal interface PeerListener {
    /** Messages sent first on each connection. */
    fun openingMessages(): List<Message>

    /** The peer has answered. */
    fun reachable(entry: ProcessId)

    /** The peer does not answer; [hasEnded] tells whether its process is known to have ended. */
    fun unreachable(
        entry: ProcessId,
        hasEnded: Boolean,
    )

    /** A message other than a reply has arrived. */
    fun received(message: Message)
}
