package io.egretlock.process

/**
 * Limits the log lines of one event to [linesPerSecond]. Counts the lines that it leaves out, for the next line that is
 * written. Thread-safe.
 */
internal class LineBudget(
    private val linesPerSecond: Int,
    private val nowNanos: () -> Long = System::nanoTime,
) {
    private var secondStartedAt = nowNanos()
    private var written = 0
    private var omitted = 0L

    /** Returns how many lines were left out since the last one that was written; null if this line is left out too. */
    @Synchronized
    fun omittedBeforeLine(): Long? {
        val now = nowNanos()
        if (now - secondStartedAt >= NANOS_PER_SECOND) {
            secondStartedAt = now
            written = 0
        }
        if (written >= linesPerSecond) {
            omitted++
            return null
        }
        written++
        return omitted.also { omitted = 0 }
    }

    private companion object {
        const val NANOS_PER_SECOND = 1_000_000_000L
    }
}
