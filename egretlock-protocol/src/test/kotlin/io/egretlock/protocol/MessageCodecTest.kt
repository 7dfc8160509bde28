package io.egretlock.protocol

import com.sun.management.ThreadMXBean
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.lang.management.ManagementFactory

class MessageCodecTest {
    private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

    @Test
    fun `encoding and decoding a short message allocate less than the table of all message types`() {
        val table = allocatedBytes { Message.serializer().descriptor }
        val frame = MessageCodec.encode(Heartbeat(1))
        assertTrue(allocatedBytes { MessageCodec.encode(Heartbeat(1)) } < table)
        assertTrue(allocatedBytes { assertEquals(Heartbeat(1), MessageCodec.decode(frame)) } < table)
    }

    /** Mean over many calls, after a warm-up, so that one-time class loading has no effect. */
    private fun allocatedBytes(body: () -> Unit): Long {
        repeat(CALLS) { body() }
        val before = threads.currentThreadAllocatedBytes
        repeat(CALLS) { body() }
        return (threads.currentThreadAllocatedBytes - before) / CALLS
    }

    private companion object {
        const val CALLS = 1_000
    }
}
