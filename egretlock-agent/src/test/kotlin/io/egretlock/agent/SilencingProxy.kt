package io.egretlock.agent

import io.egretlock.core.roster.NodeAddress
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** A TCP proxy that can stop forwarding on its open connections, in one or both directions, while new ones work. */
internal class SilencingProxy(
    private val target: NodeAddress,
) : AutoCloseable {
    private val listener = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val pipes = CopyOnWriteArrayList<Pipe>()

    val address = NodeAddress("127.0.0.1", listener.localPort)

    init {
        thread(isDaemon = true) { accept() }
    }

    /** Discards all further bytes of the open connections to the target and, unless [oneWay], from it. */
    fun silence(oneWay: Boolean = false) = pipes.filter { it.toTarget || !oneWay }.forEach { it.silent = true }

    override fun close() {
        listener.close()
        pipes.forEach { it.close() }
    }

    private fun accept() {
        while (!listener.isClosed) {
            try {
                val inbound = listener.accept()
                val outbound = Socket(target.host, target.port)
                listOf(
                    Pipe(inbound, outbound, toTarget = true),
                    Pipe(outbound, inbound, toTarget = false),
                ).forEach { it.start() }
            } catch (_: IOException) {
                continue
            }
        }
    }

    private inner class Pipe(
        private val source: Socket,
        private val sink: Socket,
        val toTarget: Boolean,
    ) {
        @Volatile
        var silent = false

        fun start() {
            pipes += this
            thread(isDaemon = true) {
                try {
                    copy()
                } catch (_: IOException) {
                    // One end failed; both are closed below.
                }
                if (!silent) close()
            }
        }

        fun close() {
            source.close()
            sink.close()
        }

        private fun copy() {
            val buffer = ByteArray(BUFFER_BYTES)
            generateSequence { source.getInputStream().read(buffer) }
                .takeWhile { it >= 0 }
                .forEach { if (!silent) sink.getOutputStream().write(buffer, 0, it) }
        }
    }

    private companion object {
        const val BACKLOG = 50
        const val BUFFER_BYTES = 8_192
    }
}
