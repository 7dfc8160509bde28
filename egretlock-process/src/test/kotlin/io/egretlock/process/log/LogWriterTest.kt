package io.egretlock.process.log

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.ByteArrayOutputStream
import java.util.concurrent.CountDownLatch

class LogWriterTest {
    @Test
    fun `lines are written in order, one each`() {
        val output = ByteArrayOutputStream()
        val writer = LogWriter(output, batchMillis = 1)
        repeat(100) { assertTrue(writer.write("line $it")) }
        writer.flush(timeoutMillis = 60_000)
        assertEquals(List(100) { "line $it" }, output.toString().trim().lines())
    }

    @Test
    fun `while the output blocks, lines are dropped and counted and the caller goes on`() {
        val output = BlockedOutput()
        val writer = LogWriter(output, capacity = 10, batchMillis = 1)
        writer.write("first")
        output.entered.await()
        repeat(10) { assertTrue(writer.write("queued")) }
        repeat(6) { assertFalse(writer.write("dropped")) }
        assertEquals(6, writer.dropped)
        output.released.countDown()
        writer.flush(timeoutMillis = 60_000)
        val lines = output.toString().trim().lines()
        assertEquals(listOf("first") + List(10) { "queued" }, lines.filter { "droppedLines" !in it })
        assertTrue(lines.single { "droppedLines" in it }.endsWith("\"droppedLines\":6}"))
    }

    /** Blocks the first write until it is released, as a pipe that nobody reads does. */
    private class BlockedOutput : ByteArrayOutputStream() {
        val entered = CountDownLatch(1)
        val released = CountDownLatch(1)

        override fun write(bytes: ByteArray) {
            entered.countDown()
            released.await()
            super.write(bytes)
        }
    }
}
