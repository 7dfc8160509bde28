package io.egretlock.protocol

import java.io.IOException

/**
 * Checks the structure of a CBOR item (RFC 8949) before it is decoded: its nesting, and that declared lengths fit into
 * the frame. The decoder allocates lists of the declared length and recurses into nested items, so that a few bytes
 * from a faulty sender could exhaust the heap or the stack of the process.
 */
internal class CborBounds private constructor(
    private val bytes: ByteArray,
) {
    private var position = 0

    private fun skipItem(depth: Int) {
        if (depth > MAX_DEPTH) throw IOException("A frame nested deeper than $MAX_DEPTH levels is not allowed.")
        val head = next()
        val argument = head and ARGUMENT_MASK
        when (head shr MAJOR_TYPE_SHIFT) {
            BYTE_STRING, TEXT -> if (argument == INDEFINITE) skipUntilBreak(depth) else skipBytes(length(argument))
            ARRAY -> skipItems(argument, depth, itemsPerElement = 1)
            MAP -> skipItems(argument, depth, itemsPerElement = 2)
            TAG -> {
                length(argument)
                skipItem(depth + 1)
            }
            else -> if (argument in ONE_BYTE_ARGUMENT..EIGHT_BYTE_ARGUMENT) length(argument)
        }
    }

    private fun skipItems(
        argument: Int,
        depth: Int,
        itemsPerElement: Int,
    ) {
        if (argument == INDEFINITE) return skipUntilBreak(depth)
        val count = length(argument)
        // Each item has at least one byte.
        if (count < 0 ||
            count > bytes.size - position
        ) {
            throw IOException("A list of $count elements exceeds its frame.")
        }
        repeat(count.toInt() * itemsPerElement) { skipItem(depth + 1) }
    }

    private fun skipUntilBreak(depth: Int) {
        while (position < bytes.size && bytes[position] != BREAK) skipItem(depth + 1)
        next()
    }

    private fun skipBytes(count: Long) {
        if (count < 0 || count > bytes.size - position) throw IOException("A text of $count bytes exceeds its frame.")
        position += count.toInt()
    }

    /** Reads the argument of an item, which is its length, count or value. */
    private fun length(argument: Int): Long {
        if (argument < ONE_BYTE_ARGUMENT) return argument.toLong()
        if (argument > EIGHT_BYTE_ARGUMENT) throw IOException("CBOR argument $argument is not defined.")
        var value = 0L
        repeat(1 shl (argument - ONE_BYTE_ARGUMENT)) { value = (value shl Byte.SIZE_BITS) or next().toLong() }
        return value
    }

    private fun next(): Int {
        if (position >= bytes.size) throw IOException("The frame ends within an item.")
        return bytes[position++].toInt() and BYTE_MASK
    }

    companion object {
        /** Deepest allowed nesting; messages have at most eight levels. */
        const val MAX_DEPTH = 32

        private const val BYTE_MASK = 0xFF
        private const val MAJOR_TYPE_SHIFT = 5
        private const val ARGUMENT_MASK = 0x1F
        private const val BYTE_STRING = 2
        private const val TEXT = 3
        private const val ARRAY = 4
        private const val MAP = 5
        private const val TAG = 6
        private const val ONE_BYTE_ARGUMENT = 24
        private const val EIGHT_BYTE_ARGUMENT = 27
        private const val INDEFINITE = 31
        private const val BREAK = 0xFF.toByte()

        /** Throws [IOException] if [bytes] do not start with a well-formed item within the bounds. */
        fun check(bytes: ByteArray) = CborBounds(bytes).skipItem(depth = 0)
    }
}
