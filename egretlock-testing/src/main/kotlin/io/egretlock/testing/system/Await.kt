package io.egretlock.testing.system

/** Waits for conditions by polling. */
object Await {
    private const val TIMEOUT_MILLIS = 30_000L
    private const val POLL_MILLIS = 20L
    private const val NANOS_PER_MILLI = 1_000_000L

    /** Waits until [condition] holds; throws if it does not within [timeoutMillis], or if [process] ends before. */
    fun until(
        description: String,
        process: ManagedProcess? = null,
        timeoutMillis: Long = TIMEOUT_MILLIS,
        condition: () -> Boolean,
    ) {
        val deadline = System.nanoTime() + timeoutMillis * NANOS_PER_MILLI
        while (!condition()) {
            check(process?.isAlive ?: true) { "Process ended before '$description':\n${process?.lastLines()}" }
            check(
                System.nanoTime() < deadline,
            ) { "Not within $timeoutMillis ms: $description.\n${process?.lastLines()}" }
            Thread.sleep(POLL_MILLIS)
        }
    }
}
