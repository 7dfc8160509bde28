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

    /** Passes [bytes] to [frames] in pieces of random sizes, and returns the bodies that come out. */
    private fun pass(
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
    fun `frames of all sizes come out whole and in order, however their bytes are cut`() {
        repeat(50) { seed ->
            val random = Random(seed)
            val bodies = List(40) { random.nextBytes(random.nextInt(1, if (it % 10 == 0) 20_000 else 200)) }
            val bytes = bodies.map { frame(it) }.reduce { all, next -> all + next }
            val passed = pass(FrameBuffer(largestFrameBytes = 20_000), bytes, random)
            assertEquals(bodies.map { it.toList() }, passed.map { it.toList() })
        }
    }

    @Test
    fun `a length that is not allowed is refused`() {
        for (length in listOf(0, -1, 101)) {
            val frames = FrameBuffer(largestFrameBytes = 100)
            frames.space().putInt(length)
            assertThrows<IOException> { frames.next() }
        }
    }

    @Test
    fun `a long frame that is only announced takes no room`() {
        val frames = FrameBuffer(largestFrameBytes = Int.MAX_VALUE)
        frames.space().putInt(Int.MAX_VALUE)
        assertEquals(null, frames.next())
        assertTrue(frames.space().capacity() < 10_000)
    }
}
