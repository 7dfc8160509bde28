package io.egretlock.entry

import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicInteger

/** Counts requests in flight and, once draining, lets no new one in. Safe for concurrent use. */
class Drain {
    private val draining = AtomicBoolean()
    private val inFlight = AtomicInteger()

    /** Requests that were let in and have not left. */
    val requestsInFlight: Int
        get() = inFlight.get()

    /** Whether new requests are refused. */
    val isDraining: Boolean
        get() = draining.get()

    /** Lets a request in; false while draining. */
    fun enter(): Boolean {
        inFlight.incrementAndGet()
        if (!draining.get()) return true
        inFlight.decrementAndGet()
        return false
    }

    /** A request that was let in has its answer. */
    fun leave() {
        inFlight.decrementAndGet()
    }

    /** Refuses new requests from now on. */
    fun begin() = draining.set(true)
}
