package io.egretlock.entry

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicLong

/**
 * Counts requests in flight and tells whether the entry is draining. Requests are let in until the listener closes, as
 * they may ask for jobs that are in flight; their home refuses new jobs. Safe for concurrent use.
 *
 * @property nowMillis monotonic clock in milliseconds.
 */
class Drain(
    private val nowMillis: () -> Long,
) {
    private val draining = AtomicBoolean()
    private val inFlight = AtomicInteger()
    private val lastActivityMillis = AtomicLong()

    /** Requests that were counted in and have no answer yet. */
    val requestsInFlight: Int
        get() = inFlight.get()

    /** Whether a graceful shutdown has begun. */
    val isDraining: Boolean
        get() = draining.get()

    /** Counts a request in. */
    fun enter() {
        lastActivityMillis.set(nowMillis())
        inFlight.incrementAndGet()
    }

    /** A request that was counted in has its answer. */
    fun leave() {
        lastActivityMillis.set(nowMillis())
        inFlight.decrementAndGet()
    }

    /** Begins a graceful shutdown. */
    fun begin() {
        lastActivityMillis.set(nowMillis())
        draining.set(true)
    }

    /** Whether no request is in flight, and for [forMillis] none has come and no answer has left. */
    fun isQuiet(forMillis: Long): Boolean = inFlight.get() == 0 && nowMillis() - lastActivityMillis.get() >= forMillis
}
