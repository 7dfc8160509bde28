package io.egretlock.process.log

import java.io.IOException
import java.io.OutputStream
import java.util.concurrent.ArrayBlockingQueue
import java.util.concurrent.atomic.AtomicLong

/**
 * Writes log lines to [output] on a thread of its own, so that a blocked output never blocks the caller. Lines that do
 * not fit into the queue are dropped; a line with their number follows once there is space again.
 *
 * The thread collects lines for [batchMillis] before it writes them, because each write is a system call and each
 * wake-up of the thread a switch away from the thread that does the work.
 */
internal class LogWriter(
    private val output: OutputStream,
    capacity: Int = MAX_QUEUED_LINES,
    private val batchMillis: Long = BATCH_MILLIS,
) {
    private val lines = ArrayBlockingQueue<String>(capacity)
    private val unwrittenLines = AtomicLong()
    private val droppedLines = AtomicLong()
    private val thread = Thread(::writeForever, "log").apply { isDaemon = true }

    /** Number of lines that were dropped and not reported yet. */
    val dropped: Long
        get() = droppedLines.get()

    init {
        thread.start()
    }

    /** Queues [line], which has no line break; returns false if it is dropped. */
    fun write(line: String): Boolean {
        unwrittenLines.incrementAndGet()
        val isQueued = lines.offer(line)
        if (!isQueued) {
            unwrittenLines.decrementAndGet()
            droppedLines.incrementAndGet()
        }
        return isQueued
    }

    /** Waits until the queued lines are written, at most [timeoutMillis]. */
    fun flush(timeoutMillis: Long) {
        val endAt = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (unwrittenLines.get() > 0 && System.nanoTime() < endAt) Thread.sleep(batchMillis)
    }

    private fun writeForever() {
        val batch = ArrayList<String>()
        while (true) {
            batch += lines.take()
            Thread.sleep(batchMillis)
            lines.drainTo(batch)
            if (!writeBatch(batch)) return
            unwrittenLines.addAndGet(-batch.size.toLong())
            batch.clear()
        }
    }

    /** Returns false once the output is closed; further lines fill the queue and are dropped. */
    private fun writeBatch(batch: List<String>): Boolean =
        try {
            output.write((batch.joinToString("\n", postfix = "\n") + droppedLine()).encodeToByteArray())
            output.flush()
            true
        } catch (closed: IOException) {
            System.err.println("The log can't be written and ends: $closed")
            false
        }

    private fun droppedLine(): String {
        val count = droppedLines.getAndSet(0)
        if (count == 0L) return ""
        val fields = listOf("message" to "Log lines were dropped.", "droppedLines" to count)
        return LogLine.format(System.currentTimeMillis(), "WARN", fields) + "\n"
    }

    private companion object {
        /** Capacity of the queue of unwritten lines: about one second of the busiest log. */
        const val MAX_QUEUED_LINES = 2_048
        const val BATCH_MILLIS = 20L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
