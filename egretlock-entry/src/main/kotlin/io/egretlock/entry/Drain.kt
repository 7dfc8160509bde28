package io.egretlock.entry

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/**
 * Counts requests in flight and tells whether the entry is draining. Requests are let in until the listener closes, as
 * they may ask for jobs that are in flight; their home refuses new jobs. Safe for concurrent use.
 */
class Drain {
    private val draining = AtomicBoolean()
    private val inFlight = AtomicInteger()

    /** Requests that were counted in and have no answer yet. */
    val requestsInFlight: Int
        get() = inFlight.get()

    /** Whether a graceful shutdown has begun. */
    val isDraining: Boolean
        get() = draining.get()

    /** Counts a request in. */
    fun enter() {
        inFlight.incrementAndGet()
    }

    /** A request that was counted in has its answer. */
    fun leave() {
        inFlight.decrementAndGet()
    }

    /** Begins a graceful shutdown. */
    fun begin() = draining.set(true)
}
