package io.egretlock.entry

import io.egretlock.core.roster.EntryMember
import io.egretlock.process.event
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.protocol.ReplyMessage
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.Welcome
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select

private val logger = KotlinLogging.logger {}

/**
 * The connection to one other entry, dialled again whenever it ends. Requests wait for their reply across connections:
 * the other end joins a job by its id, so that a repeated request is harmless.
 */
internal class PeerConnection(
    private val member: EntryMember,
    private val hello: EntryHello,
    private val settings: SettingsKeeper,
    private val selector: SelectorManager,
    private val timing: LinkTiming,
    private val scope: CoroutineScope,
) {
    private val commands = Channel<Command>(Channel.UNLIMITED)
    private val pending = linkedMapOf<Long, Command.Call>()
    private var unreachableSinceNanos: Long? = null

    /** Begins to dial. */
    fun start() {
        scope.launch { run() }
    }

    /** Waits for the reply to [request]; null once the other entry has been unreachable for too long. */
    suspend fun call(
        request: Long,
        message: Message,
    ): Message? {
        val call = Command.Call(request, message, CompletableDeferred())
        commands.send(call)
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
            val link = dial()
            if (link == null) unreachable() else serve(link)
        }
    }

    private suspend fun dial(): Link? =
        try {
            Link.dial(member.address, selector, scope, timing)
        } catch (timeout: TimeoutCancellationException) {
            logger.debug { "Entry '${member.entry}' did not accept: $timeout" }
            null
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            logger.debug { "Entry '${member.entry}' refused: $failure" }
            null
        }

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
        unreachableSinceNanos = null
        link.send(hello)
        link.send(SettingsUpdate(settings.table.all()))
        pending.values.forEach { link.send(it.message) }
        logger.event(EntryEvent.PEER_CONNECTED, "peer" to member.entry)
        while (serveOne(link)) Unit
        link.close()
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
        }

    private fun received(message: Message) {
        when (message) {
            is ReplyMessage -> pending.remove(message.request)?.reply?.complete(message)
            is Welcome -> settings.learned(message.settings)
            is SettingsUpdate -> settings.learned(message.settings)
            else -> Unit
        }
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

        data class Tell(
            val message: Message,
        ) : Command
    }

    private companion object {
        const val REDIAL_MILLIS = 100L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
