package io.egretlock.protocol

import java.io.IOException
import java.nio.ByteBuffer

/**
 * Bytes of a connection that were read and not yet taken as frames: four bytes of length, then the body.
 *
 * It grows with what has come in, not with the length that a frame claims.
 */
internal class FrameBuffer(
    private val largestFrameBytes: Int,
) {
    private var bytes = ByteBuffer.allocate(INITIAL_BYTES).flip()

    /** Whether [bytes] is being written to, so that its position is the end of what came in. */
    private var isFilling = false

    /** Room for further bytes, to be read into at its position; valid until [next] is called. */
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

    /** The next whole frame body; null if there is none yet. Throws [IOException] if a length is not allowed. */
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
        /** Holds a few of the usual messages, which have some ten to some hundred bytes. */
        const val INITIAL_BYTES = 1_024
    }
}
