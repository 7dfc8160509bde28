package io.egretlock.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertThrows
import java.io.IOException
import java.nio.ByteBuffer
import kotlin.math.min
import kotlin.random.Random

class FrameBufferTest {
    private fun frame(body: ByteArray): ByteArray = ByteBuffer.allocate(4).putInt(body.size).array() + body

    /** Writes [bytes] to [frames] in chunks of random sizes and returns the frame bodies read. */
    private fun writeInChunks(
        frames: FrameBuffer,
        bytes: ByteArray,
        random: Random,
    ): List<ByteArray> {
        val bodies = mutableListOf<ByteArray>()
        val input = ByteBuffer.wrap(bytes)
        while (input.hasRemaining()) {
            val space = frames.space()
            val count = min(min(input.remaining(), space.remaining()), random.nextInt(1, 2_000))
            space.put(ByteArray(count).also { input.get(it) })
            generateSequence { frames.next() }.forEach { bodies += it }
        }
        return bodies
    }

    @Test
    fun `frames of all sizes are read whole and in order, however their bytes are split`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val bodies = List(40) { random.nextBytes(random.nextInt(1, if (it % 10 == 0) 20_000 else 200)) }
            val bytes = bodies.map { frame(it) }.reduce { all, next -> all + next }
            val readBodies = writeInChunks(FrameBuffer(largestFrameBytes = 20_000), bytes, random)
            assertEquals(bodies.map { it.toList() }, readBodies.map { it.toList() })
        }
    }

    @Test
    fun `a length that is not allowed throws an exception`() {
        for (length in listOf(0, -1, 101)) {
            val frames = FrameBuffer(largestFrameBytes = 100)
            frames.space().putInt(length)
            assertThrows<IOException> { frames.next() }
        }
    }

    @Test
    fun `the declared length of a frame allocates no memory before its bytes arrive`() {
        val frames = FrameBuffer(largestFrameBytes = Int.MAX_VALUE)
        frames.space().putInt(Int.MAX_VALUE)
        assertEquals(null, frames.next())
        assertTrue(frames.space().capacity() < 10_000)
    }
}
