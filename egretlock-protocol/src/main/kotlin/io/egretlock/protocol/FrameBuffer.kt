package io.egretlock.protocol

import java.io.IOException
import java.nio.ByteBuffer

/**
 * Buffer for the received bytes of a connection, from which frames are taken: four bytes of length, then the body.
 *
 * The buffer grows with the bytes that have arrived, not with the length that a frame header declares.
 */
internal class FrameBuffer(
    private val largestFrameBytes: Int,
) {
    private var bytes = ByteBuffer.allocate(INITIAL_BYTES).flip()

    /** Whether [bytes] is in write mode, in which its position is the end of the received bytes. */
    private var isFilling = false

    /** Returns a buffer with space for further bytes from its position on; valid until [next] is called. */
    fun space(): ByteBuffer {
        bytes =
            if (bytes.remaining() < bytes.capacity()) {
                bytes.compact()
            } else {
                ByteBuffer.allocate(bytes.capacity() * 2).put(bytes)
            }
        isFilling = true
        return bytes
    }

    /** Removes and returns the body of the next complete frame, or null. Throws [IOException] for an invalid length. */
    fun next(): ByteArray? {
        if (isFilling) bytes.flip()
        isFilling = false
        if (bytes.remaining() < Int.SIZE_BYTES) return null
        val length = bytes.getInt(bytes.position())
        if (length !in 1..largestFrameBytes) throw IOException("Frame of $length bytes is not allowed.")
        if (bytes.remaining() - Int.SIZE_BYTES < length) return null
        bytes.getInt()
        return ByteArray(length).also { bytes.get(it) }
    }

    private companion object {
        /** Enough for a few typical messages, which have tens to hundreds of bytes. */
        const val INITIAL_BYTES = 1_024
    }
}
