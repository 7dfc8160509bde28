package io.egretlock.testing.system

/**
 * Times that are passed to both binaries, in milliseconds.
 *
 * @property drainMillis longest graceful shutdown.
 */
data class SystemTiming(
    val heartbeatMillis: Long = 200,
    val silenceMillis: Long = 1_000,
    val drainMillis: Long = 10_000,
)
