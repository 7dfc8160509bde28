package io.egretlock.protocol

import io.egretlock.core.roster.NodeAddress
import io.egretlock.sockets.EventLoop
import io.egretlock.sockets.LoopSocket
import io.github.oshai.kotlinlogging.KotlinLogging
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
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

private const val LARGEST_FRAME_BYTES = 64 * 1_024 * 1_024

/** Bytes of frames that are gathered for one write; more would keep the first of them waiting. */
private const val LARGEST_BATCH_BYTES = 32 * 1_024
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
    private val socket: LoopSocket,
    private val timing: LinkTiming,
    loop: EventLoop,
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
        val owner = scope + lifetime + loop
        owner.launch { endingWithConnection { read() } }
        owner.launch { endingWithConnection { write() } }
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

    private suspend fun read() {
        val frames = FrameBuffer(timing.largestFrameBytes)
        while (true) {
            val count = socket.read(frames.space())
            if (count < 0) throw IOException("The other end closed the connection.")
            var body = frames.next()
            while (body != null) {
                val message = MessageCodec.decode(body)
                silence.heard()
                deliver(message)
                body = frames.next()
            }
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

    /** Writes what is queued, all of it at once. */
    private suspend fun write() {
        try {
            for (message in outgoing) socket.write(ByteBuffer.wrap(framesFrom(message)))
        } catch (closed: ClosedSendChannelException) {
            throw IOException("Connection closed.", closed)
        }
    }

    /** Frames of [first] and of what is queued behind it. */
    private fun framesFrom(first: Message): ByteArray {
        val frames = ByteArrayOutputStream()
        var next: Message? = first
        while (next != null) {
            appendFrame(frames, next)
            next = if (frames.size() < LARGEST_BATCH_BYTES) outgoing.tryReceive().getOrNull() else null
        }
        return frames.toByteArray()
    }

    private fun appendFrame(
        frames: ByteArrayOutputStream,
        message: Message,
    ) {
        val bytes = MessageCodec.encode(message)
        frames.writeBytes(ByteBuffer.allocate(Int.SIZE_BYTES).putInt(bytes.size).array())
        frames.writeBytes(bytes)
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
            loop: EventLoop,
            scope: CoroutineScope,
            timing: LinkTiming,
        ): Link? =
            try {
                dial(address, loop, scope, timing)
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
            loop: EventLoop,
            scope: CoroutineScope,
            timing: LinkTiming = LinkTiming(),
        ): Link {
            val socket = withTimeout(timing.connectMillis) { LoopSocket.connect(loop, address) }
            return Link(socket, timing, loop, scope)
        }
    }
}
