package io.egretlock.sockets

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import java.nio.channels.CancelledKeyException
import java.nio.channels.ClosedChannelException
import java.nio.channels.SelectionKey
import kotlin.coroutines.resume
import kotlin.coroutines.resumeWithException

/**
 * Suspends coroutines until a socket is ready. At most one coroutine waits to write, and one to read, accept or
 * connect. Used on the thread of its [EventLoop] only.
 */
internal class SocketReadiness(
    val key: SelectionKey,
) {
    private var reader: CancellableContinuation<Unit>? = null
    private var writer: CancellableContinuation<Unit>? = null

    /**
     * Returns once one of [operations] of [SelectionKey] is possible; throws [ClosedChannelException] if the socket is
     * closed first.
     */
    suspend fun await(operations: Int) =
        suspendCancellableCoroutine { waiter ->
            try {
                if (key.interestOps() and operations == 0) key.interestOpsOr(operations)
                if (operations == SelectionKey.OP_WRITE) writer = waiter else reader = waiter
            } catch (cancelled: CancelledKeyException) {
                waiter.resumeWithException(ClosedChannelException().apply { initCause(cancelled) })
            }
        }

    /**
     * Resumes the coroutines whose operations are ready. Interest in operations for which no coroutine waits is
     * removed. Interest in reading stays, as a reader usually waits again and changing the interest is a system call.
     */
    fun onSelected() {
        if (!key.isValid) return
        val ready = key.readyOps()
        if (ready and SelectionKey.OP_WRITE != 0) {
            key.interestOpsAnd(SelectionKey.OP_WRITE.inv())
            writer.also { writer = null }?.resume(Unit)
        }
        if (ready and SelectionKey.OP_WRITE.inv() != 0) {
            val waiter = reader.also { reader = null }
            val keepsInterest = ready and SelectionKey.OP_CONNECT == 0 && waiter != null && waiter.isActive
            if (!keepsInterest) key.interestOpsAnd(SelectionKey.OP_WRITE)
            waiter?.resume(Unit)
        }
    }

    /** Closes the socket and resumes waiting coroutines with [ClosedChannelException]. */
    fun close() {
        key.channel().close()
        writer.also { writer = null }?.resumeWithException(ClosedChannelException())
        reader.also { reader = null }?.resumeWithException(ClosedChannelException())
    }
}
