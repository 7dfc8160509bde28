package io.egretlock.testing.system

/**
 * Timing of entries and agents, in milliseconds.
 *
 * @property noticeMillis time that a stopping entry allows a [LoadGenerator] to notice that it is not ready.
 * @property drainMillis longest duration of a graceful shutdown.
 */
data class SystemTiming(
    val heartbeatMillis: Long = 200,
    val silenceMillis: Long = 1_000,
    val noticeMillis: Long = 600,
    val drainMillis: Long = 10_000,
)
