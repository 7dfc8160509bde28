package io.egretlock.entry

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts requests in flight and tracks whether the entry is draining. Requests are accepted until the listener closes,
 * as they may concern jobs in flight; the jobs' home refuses new jobs. Safe for concurrent use.
 *
 * @property nowMillis monotonic clock in milliseconds.
 */
class Drain(
    private val nowMillis: () -> Long,
) {
    private val draining = AtomicBoolean()
    private val inFlight = AtomicInteger()
    private val lastActivityMillis = AtomicLong()

    /** Number of requests without an answer yet. */
    val requestsInFlight: Int
        get() = inFlight.get()

    /** Whether a graceful shutdown has begun. */
    val isDraining: Boolean
        get() = draining.get()

    /** Counts a request as in flight. */
    fun beginRequest() {
        lastActivityMillis.set(nowMillis())
        inFlight.incrementAndGet()
    }

    /** Counts a request as answered. */
    fun endRequest() {
        lastActivityMillis.set(nowMillis())
        inFlight.decrementAndGet()
    }

    /** Begins a graceful shutdown. */
    fun begin() {
        lastActivityMillis.set(nowMillis())
        draining.set(true)
    }

    /** Whether no request is in flight and, for [forMillis], none has arrived and no answer has left. */
    fun isIdle(forMillis: Long): Boolean = inFlight.get() == 0 && nowMillis() - lastActivityMillis.get() >= forMillis
}
