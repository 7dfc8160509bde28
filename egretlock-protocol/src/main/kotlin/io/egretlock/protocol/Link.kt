package io.egretlock.protocol

import io.egretlock.core.roster.NodeAddress
import io.github.oshai.kotlinlogging.KotlinLogging
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import io.ktor.utils.io.writeByteArray
import io.ktor.utils.io.writeInt
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.TimeoutCancellationException
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ClosedSendChannelException
import kotlinx.coroutines.channels.ReceiveChannel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.plus
import kotlinx.coroutines.withTimeout
import java.io.IOException
import java.util.concurrent.atomic.AtomicLong

private const val LARGEST_FRAME_BYTES = 64 * 1_024 * 1_024
private val logger = KotlinLogging.logger {}

/**
 * How a [Link] finds out that its connection has gone silent.
 *
 * @property heartbeatMillis interval between heartbeats in each direction.
 * @property silenceMillis time without any frame from the other end, or without word that it has heard a further
 * heartbeat, after which the connection is given up. Such word comes with the other end's next heartbeat.
 * @property connectMillis time allowed for opening a connection.
 * @property largestFrameBytes longest frame body accepted; a longer one ends the connection.
 */
data class LinkTiming(
    val heartbeatMillis: Long = 500,
    val silenceMillis: Long = 2_000,
    val connectMillis: Long = 1_000,
    val largestFrameBytes: Int = LARGEST_FRAME_BYTES,
)

/**
 * One TCP connection between two processes, carrying [Message] frames: four bytes of length, then CBOR.
 *
 * Heartbeats are exchanged inside; [incoming] has all other messages in order and is closed when the
 * connection ends, for whatever reason. A connection whose other end has been silent too long ends itself.
 */
class Link internal constructor(
    private val socket: Socket,
    private val timing: LinkTiming,
    scope: CoroutineScope,
) {
    private val outgoing = Channel<Message>(Channel.UNLIMITED)
    private val received = Channel<Message>(Channel.UNLIMITED)
    private val silence = LinkSilence(timing)
    private val heard = AtomicLong()
    private val lifetime = SupervisorJob(scope.coroutineContext[Job])

    /** Messages of the other end, without heartbeats. */
    val incoming: ReceiveChannel<Message> = received

    init {
        val reader = socket.openReadChannel()
        val writer = socket.openWriteChannel()
        val owner = scope + lifetime
        owner.launch { endingWithConnection { read(reader) } }
        owner.launch { endingWithConnection { write(writer) } }
        owner.launch { endingWithConnection { watch() } }
    }

    /** Queues a message. Returns false once the connection has ended; a true does not mean that it arrived. */
    fun send(message: Message): Boolean = outgoing.trySend(message).isSuccess

    /** Ends the connection; idempotent. */
    fun close() {
        outgoing.close()
        received.close()
        socket.close()
        lifetime.cancel()
    }

    private suspend fun endingWithConnection(body: suspend () -> Unit) {
        try {
            body()
        } catch (cancelled: CancellationException) {
            throw cancelled
        } catch (failure: Exception) {
            logger.debug { "Connection ended: $failure" }
        } finally {
            close()
        }
    }

    private suspend fun read(reader: ByteReadChannel) {
        while (true) {
            val length = reader.readInt()
            if (length !in 1..timing.largestFrameBytes) throw IOException("Frame of $length bytes is not allowed.")
            val message = MessageCodec.decode(reader.readByteArray(length))
            silence.heard()
            deliver(message)
        }
    }

    private fun deliver(message: Message) {
        when (message) {
            is Heartbeat -> heartbeat(message)
            else -> received.trySend(message)
        }
    }

    private fun heartbeat(message: Heartbeat) {
        heard.set(message.sequence)
        silence.confirmed(message.heard)
    }

    private suspend fun write(writer: ByteWriteChannel) {
        try {
            for (message in outgoing) {
                writeFrame(writer, message)
                var next = outgoing.tryReceive().getOrNull()
                while (next != null) {
                    writeFrame(writer, next)
                    next = outgoing.tryReceive().getOrNull()
                }
                writer.flush()
            }
        } catch (closed: ClosedSendChannelException) {
            throw IOException("Connection closed.", closed)
        }
    }

    private suspend fun writeFrame(
        writer: ByteWriteChannel,
        message: Message,
    ) {
        val bytes = MessageCodec.encode(message)
        writer.writeInt(bytes.size)
        writer.writeByteArray(bytes)
    }

    private suspend fun watch() {
        var sequence = 0L
        while (!silence.isOver) {
            send(Heartbeat(++sequence, heard.get()))
            delay(timing.heartbeatMillis)
        }
        logger.debug { "Connection silent for ${silence.millis()} ms." }
    }

    /** Whether half of the time has passed after which a silent connection is given up. */
    val isDoubtful: Boolean
        get() = silence.isDoubtful

    companion object {
        /** Opens a connection to [address]; null, with a debug line, if that fails. */
        suspend fun dialOrNull(
            address: NodeAddress,
            selector: SelectorManager,
            scope: CoroutineScope,
            timing: LinkTiming,
        ): Link? =
            try {
                dial(address, selector, scope, timing)
            } catch (late: TimeoutCancellationException) {
                logger.debug { "No connection to $address: $late" }
                null
            } catch (failure: IOException) {
                logger.debug { "No connection to $address: $failure" }
                null
            }

        /** Opens a connection to [address]; throws [IOException] or a timeout if that fails. */
        suspend fun dial(
            address: NodeAddress,
            selector: SelectorManager,
            scope: CoroutineScope,
            timing: LinkTiming = LinkTiming(),
        ): Link {
            val socket =
                withTimeout(timing.connectMillis) {
                    aSocket(selector).tcp().connect(address.host, address.port) { noDelay = true }
                }
            return Link(socket, timing, scope)
        }
    }
}
