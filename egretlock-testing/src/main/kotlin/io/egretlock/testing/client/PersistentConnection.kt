package io.egretlock.testing.client

import io.egretlock.core.roster.NodeAddress
import java.io.EOFException
import java.net.Socket

/** An HTTP connection that stays open between requests, without pipelining. */
class PersistentConnection(
    private val address: NodeAddress,
) : AutoCloseable {
    private val socket = Socket(address.host, address.port).apply { soTimeout = ANSWER_TIMEOUT_MILLIS }
    private val input = socket.getInputStream().buffered()

    /** Queries a job that does not exist and returns the headers of the answer by lower-case name. */
    fun request(): Map<String, String> {
        send("GET", "/v1/jobs/unknown", body = "")
        return receive()
    }

    /** Sends a request. */
    fun send(
        method: String,
        path: String,
        body: String,
    ) {
        val head = "$method $path HTTP/1.1\r\nHost: $address\r\nContent-Length: ${body.toByteArray().size}\r\n\r\n"
        socket.getOutputStream().write((head + body).toByteArray())
    }

    /** Reads one complete answer and returns its headers by lower-case name; throws if the connection ends. */
    fun receive(): Map<String, String> {
        readLine()
        val headers = generateSequence(::readLine).takeWhile { it.isNotEmpty() }.associate(::headerOf)
        input.readNBytes(headers["content-length"]?.toInt() ?: 0)
        return headers
    }

    override fun close() = socket.close()

    private fun readLine(): String {
        val line = StringBuilder()
        while (true) {
            when (val byte = input.read()) {
                -1 -> throw EOFException("The connection to $address ended after reading '$line'.")
                '\n'.code -> return line.toString().trimEnd('\r')
                else -> line.append(byte.toChar())
            }
        }
    }

    private fun headerOf(line: String): Pair<String, String> =
        line.substringBefore(':').lowercase() to line.substringAfter(':').trim()

    private companion object {
        const val ANSWER_TIMEOUT_MILLIS = 15_000
    }
}
