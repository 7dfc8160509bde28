package io.egretlock.store

import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Kinds of calls to the platform's store. The store counts each call, and an open watch as one. */
enum class StoreCallKind {
    READ,
    WRITE,
    WATCH,
    ;

    /** Value of the metric label `kind`. */
    val label: String = name.lowercase()
}

/**
 * Rate limits for the calls of one process to the platform's store.
 *
 * @property callsPerSecond sustained rate of calls of each kind.
 * @property burst number of calls of each kind that are allowed at once.
 */
data class StoreRateLimits(
    val callsPerSecond: Double = 20.0,
    val burst: Int = 40,
)

/**
 * Limits the calls of one process to the store and counts them in metrics. A call over the limit is not made; the
 * caller retries later, as after any failure of the store.
 */
class StoreRateLimiter(
    private val limits: StoreRateLimits,
    registry: PrometheusRegistry,
    private val nowMillis: () -> Long = { System.nanoTime() / NANOS_PER_MILLI },
) {
    private val buckets = StoreCallKind.entries.associateWith { TokenBucket(limits, nowMillis()) }
    private val made = counter("egretlock_store_calls", "Calls made to the platform's store.", registry)
    private val failed = counter("egretlock_store_calls_failed", "Calls to the store that failed.", registry)
    private val withheld = counter("egretlock_store_calls_withheld", "Calls not made: budget spent.", registry)

    /** Counts a call of [kind] against its limit; throws [StoreRateLimitException] if the limit is reached. */
    fun take(kind: StoreCallKind) {
        if (buckets.getValue(kind).take(nowMillis())) {
            made.labelValues(kind.label).inc()
        } else {
            withheld.labelValues(kind.label).inc()
            throw StoreRateLimitException(kind)
        }
    }

    /** Counts a call of [kind] that failed. */
    fun countFailure(kind: StoreCallKind) = failed.labelValues(kind.label).inc()

    private fun counter(
        name: String,
        help: String,
        registry: PrometheusRegistry,
    ): Counter =
        Counter
            .builder()
            .name(name)
            .help(help)
            .labelNames("kind")
            .register(registry)
            .also { counter -> StoreCallKind.entries.forEach { counter.initLabelValues(it.label) } }

    private class TokenBucket(
        private val limits: StoreRateLimits,
        private var refilledAtMillis: Long,
    ) {
        private var tokens = limits.burst.toDouble()

        @Synchronized
        fun take(nowMillis: Long): Boolean {
            val refill = (nowMillis - refilledAtMillis) * limits.callsPerSecond / MILLIS_PER_SECOND
            tokens = (tokens + refill).coerceAtMost(limits.burst.toDouble())
            refilledAtMillis = nowMillis
            if (tokens < 1) return false
            tokens -= 1
            return true
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val MILLIS_PER_SECOND = 1_000.0
    }
}

/** Failure of a call that was not made, because the process has reached its limit of calls of [kind]. */
class StoreRateLimitException(
    val kind: StoreCallKind,
) : StoreException("The budget of ${kind.label} calls to the store is spent.")
