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
 * The connection to one other entry, dialled again whenever it ends. Requests wait for their reply across connections:
 * the other end joins a job by its id, so that a repeated request is harmless.
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
    private var isWelcome = false
    private var task: Job? = null

    /** Begins to dial. */
    fun start() {
        task = scope.launch { run() }
    }

    /** Ends the connection; calls that wait get no reply. */
    fun stop() {
        commands.trySend(Command.Stop)
    }

    /** Waits for the reply to [request]; null once the other entry was unreachable for too long, or after [stop]. */
    suspend fun call(
        request: Long,
        message: Message,
    ): Message? {
        val call = Command.Call(request, message, CompletableDeferred())
        if (commands.trySend(call).isFailure) return null
        return call.reply.await()
    }

    /** Nobody waits for the reply to [request] any more. */
    fun abandon(request: Long) {
        commands.trySend(Command.Abandon(request))
    }

    /** Sends a message that has no reply. */
    fun tell(message: Message) {
        commands.trySend(Command.Tell(message))
    }

    private suspend fun run() {
        while (true) {
            isWelcome = false
            dial()?.let { serve(it) }
            if (!isWelcome) unreachable()
        }
    }

    private suspend fun dial(): Link? =
        try {
            Link.dial(member.address, loop, scope, timing)
        } catch (timeout: TimeoutCancellationException) {
            logger.debug { "Entry '${member.entry}' did not accept: $timeout" }
            listener.unreachable(member.entry, gone = false)
            null
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (refusal: ConnectException) {
            logger.debug { "Entry '${member.entry}' refused: $refusal" }
            listener.unreachable(member.entry, gone = REFUSED in refusal.message.orEmpty())
            null
        } catch (failure: Exception) {
            logger.debug { "Entry '${member.entry}' cannot be dialled: $failure" }
            listener.unreachable(member.entry, gone = false)
            null
        }

    /** Something may accept connections in place of the other entry and end them at once, so that counts as no answer. */
    private suspend fun unreachable() {
        takeCommands()
        val since = unreachableSinceNanos ?: System.nanoTime().also { unreachableSinceNanos = it }
        if (System.nanoTime() - since > timing.silenceMillis * NANOS_PER_MILLI) failPending()
        delay(REDIAL_MILLIS)
    }

    private fun takeCommands() {
        var command = commands.tryReceive().getOrNull()
        while (command != null) {
            accept(command)
            command = commands.tryReceive().getOrNull()
        }
    }

    private fun failPending() {
        pending.values.forEach { it.reply.complete(null) }
        pending.clear()
    }

    private suspend fun serve(link: Link) {
        link.send(hello)
        listener.greetings().forEach { link.send(it) }
        pending.values.forEach { link.send(it.message) }
        logger.event(EntryEvent.PEER_CONNECTED, "peer" to member.entry)
        try {
            while (serveOne(link)) Unit
        } finally {
            link.close()
        }
        listener.unreachable(member.entry, gone = false)
        logger.event(EntryEvent.PEER_DISCONNECTED, "peer" to member.entry)
    }

    private suspend fun serveOne(link: Link): Boolean =
        select {
            link.incoming.onReceiveCatching { received ->
                received.getOrNull()?.let(::received)
                received.isSuccess
            }
            commands.onReceive { command ->
                accept(command)?.let { link.send(it) }
                true
            }
        }

    /** Records a command and returns the message to send for it now, if any. */
    private fun accept(command: Command): Message? =
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
                end()
                null
            }
        }

    /** Nothing is taken in any more, so that no call waits in vain. */
    private fun end() {
        commands.close()
        takeCommands()
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

    /** Another incarnation at the member's address proves that the member has ended. */
    private fun welcomed(welcome: Welcome) {
        isWelcome = true
        unreachableSinceNanos = null
        if (welcome.entry == member.entry) {
            listener.reachable(member.entry)
        } else {
            listener.unreachable(member.entry, gone = true)
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
        const val REDIAL_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}

/** Is told what happens on the connections to peers. */
internal interface PeerListener {
    /** Messages to begin each connection with. */
    fun greetings(): List<Message>

    /** The peer answers. */
    fun reachable(entry: ProcessId)

    /** The peer does not answer; [gone] if its process is known to have ended. */
    fun unreachable(
        entry: ProcessId,
        gone: Boolean,
    )

    /** A message that is no reply. */
    fun received(message: Message)
}
