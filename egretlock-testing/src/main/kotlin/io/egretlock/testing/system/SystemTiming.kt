package io.egretlock.testing.system

/**
 * Times that are passed to the binaries, in milliseconds.
 *
 * @property noticeMillis time that a [Load] has to notice that an entry stops.
 * @property drainMillis longest graceful shutdown.
 */
data class SystemTiming(
    val heartbeatMillis: Long = 200,
    val silenceMillis: Long = 1_000,
    val noticeMillis: Long = 600,
    val drainMillis: Long = 10_000,
)
