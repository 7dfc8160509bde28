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
import kotlinx.coroutines.withTimeoutOrNull
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.atomic.AtomicLong

private const val LARGEST_FRAME_BYTES = 64 * 1_024 * 1_024

/** Size at which a batch of frames is written; a larger batch would delay its first frame. */
private const val LARGEST_BATCH_BYTES = 32 * 1_024
private val logger = KotlinLogging.logger {}

/**
 * Timeouts and limits of a [Link], among them those by which it detects that its connection is dead.
 *
 * @property heartbeatMillis interval between heartbeats in each direction.
 * @property silenceMillis time without any frame from the peer, or without confirmation that the peer has received a
 * further heartbeat, after which the connection is closed. The peer's next heartbeat carries the confirmation.
 * @property idleHeartbeatMillis interval between heartbeats while neither end is busy, see [Link.markBusy].
 * @property idleSilenceMillis time of silence after which the connection is closed while neither end is busy.
 * @property connectMillis time allowed for opening a connection.
 * @property largestFrameBytes longest frame body accepted; a longer one ends the connection.
 */
data class LinkTiming(
    val heartbeatMillis: Long = 500,
    val silenceMillis: Long = 2_000,
    val idleHeartbeatMillis: Long = heartbeatMillis,
    val idleSilenceMillis: Long = silenceMillis,
    val connectMillis: Long = 1_000,
    val largestFrameBytes: Int = LARGEST_FRAME_BYTES,
)

/**
 * A TCP connection between two processes that carries [Message] frames: four bytes of length, then CBOR.
 *
 * The link exchanges heartbeats itself; [incoming] has all other messages in order and is closed when the connection
 * ends, for whatever reason. The link closes a connection whose peer has been silent for too long.
 */
class Link internal constructor(
    private val socket: LoopSocket,
    private val timing: LinkTiming,
    loop: EventLoop,
    scope: CoroutineScope,
) {
    private val outgoing = Channel<Message>(Channel.UNLIMITED)
    private val received = Channel<Message>(Channel.UNLIMITED)
    private val activity = LinkActivity()
    private val silence = LinkSilence(timing, activity)
    private val becameBusy = Channel<Unit>(Channel.CONFLATED)
    private val sentHeartbeats = SentHeartbeats()
    private val lastReceivedSequence = AtomicLong()
    private val lifetime = SupervisorJob(scope.coroutineContext[Job])

    /** Number of the peer's last heartbeat that has arrived; 0 before the first one. */
    val lastReceivedHeartbeat: Long
        get() = lastReceivedSequence.get()

    /** Messages from the peer, without heartbeats. */
    val incoming: ReceiveChannel<Message> = received

    init {
        val owner = scope + lifetime + loop
        owner.launch { closeAfter { read() } }
        owner.launch { closeAfter { write() } }
        owner.launch { closeAfter { sendHeartbeats() } }
    }

    /** Queues a message. Returns false if the connection has ended; true does not imply that the message arrives. */
    fun send(message: Message): Boolean = outgoing.trySend(message).isSuccess

    /**
     * Marks the connection as busy for about a second: it has work whose loss must be noticed within the shorter of the
     * two silence limits. Both ends then send heartbeats at the shorter interval. Called on the loop's thread.
     */
    fun markBusy() {
        if (activity.mark()) onBusy()
    }

    /**
     * Time since this end sent its heartbeat number [sequence]. A message that the peer sent after it had received that
     * heartbeat is not older. If the heartbeat is unknown, the time since the connection was opened. Called on the
     * loop's thread.
     */
    fun millisSinceHeartbeat(sequence: Long): Long = sentHeartbeats.millisSince(sequence)

    /** Closes the connection; idempotent. */
    fun close() {
        outgoing.close()
        received.close()
        socket.close()
        lifetime.cancel()
    }

    private suspend fun closeAfter(body: suspend () -> Unit) {
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
            if (count < 0) throw IOException("The peer closed the connection.")
            var body = frames.next()
            while (body != null) {
                val message = MessageCodec.decode(body)
                silence.recordFrame()
                deliver(message)
                body = frames.next()
            }
        }
    }

    private fun deliver(message: Message) {
        when (message) {
            is Heartbeat -> handleHeartbeat(message)
            else -> received.trySend(message)
        }
    }

    private fun handleHeartbeat(message: Heartbeat) {
        lastReceivedSequence.set(message.sequence)
        silence.recordConfirmation(message.heard)
        if (activity.recordPeer(message.isBusy)) onBusy()
    }

    private fun onBusy() {
        silence.restart()
        becameBusy.trySend(Unit)
    }

    /** Writes the queued messages in batches. */
    private suspend fun write() {
        try {
            for (message in outgoing) socket.write(ByteBuffer.wrap(framesFrom(message)))
        } catch (closed: ClosedSendChannelException) {
            throw IOException("Connection closed.", closed)
        }
    }

    /** Encodes [first] and the messages queued behind it, up to the size of a batch. */
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

    private suspend fun sendHeartbeats() {
        while (!silence.hasTimedOut) {
            send(Heartbeat(sentHeartbeats.next(), lastReceivedSequence.get(), activity.isOwnBusy))
            awaitNextHeartbeat()
        }
        logger.debug { "Connection closed after ${silence.silentMillis()} ms of silence." }
    }

    private suspend fun awaitNextHeartbeat() {
        if (activity.isBusy) {
            delay(timing.heartbeatMillis)
        } else {
            withTimeoutOrNull(timing.idleHeartbeatMillis) { becameBusy.receive() }
        }
    }

    /** Whether half of the time has passed after which a silent connection is closed. */
    val isSuspect: Boolean
        get() = silence.isSuspect

    companion object {
        /** Opens a connection to [address]; logs a failure at debug level and returns null. */
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
