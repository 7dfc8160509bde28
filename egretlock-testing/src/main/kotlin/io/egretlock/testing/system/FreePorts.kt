package io.egretlock.testing.system

import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Chooses TCP ports on loopback for processes that a test starts.
 *
 * The ports lie below the ephemeral range, since the operating system can assign a port of that range to an outgoing
 * connection after the port is found free and before the process binds it.
 */
object FreePorts {
    private val PORTS = 20_000..31_999
    private val handedOut = ConcurrentHashMap.newKeySet<Int>()

    /** Returns a port that is free now and that this process has not handed out before. */
    fun next(): Int = generateSequence { Random.nextInt(PORTS.first, PORTS.last + 1) }.first(::claim)

    private fun claim(port: Int): Boolean = handedOut.add(port) && isFree(port)

    private fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close()
            true
        } catch (_: IOException) {
            false
        }
}
