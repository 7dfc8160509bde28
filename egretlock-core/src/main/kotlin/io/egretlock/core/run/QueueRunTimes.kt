package io.egretlock.core.run

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/**
 * Expected run time of a queue's tasks on an upstream of speed 1.
 *
 * Callers' estimates and the queue's own history are both rough; their geometric mean is closer than either. The number
 * of queues is bounded by the configuration; queues that it drops are forgotten.
 */
class QueueRunTimes {
    private val queues = HashMap<String, Level>()

    /** Expected run time, in milliseconds, of a task of [queue] that its caller estimates at [estimatedMillis]. */
    fun expectedMillis(
        queue: String,
        estimatedMillis: Long,
    ): Double {
        val estimate = max(estimatedMillis.toDouble(), 1.0)
        val level = queues[queue]?.takeIf { it.count >= KNOWN_AFTER_RUNS } ?: return estimate
        return exp((ln(estimate) + level.mean) / 2)
    }

    /** Takes note of a run of [runMillis] on an upstream of [speed]. */
    fun record(
        queue: String,
        runMillis: Double,
        speed: Double,
    ) {
        val level = queues.getOrPut(queue) { Level() }
        level.count++
        val sample = ln(max(runMillis * speed, 1.0))
        level.mean += max(1.0 / level.count, LEVEL_WEIGHT) * (sample - level.mean)
    }

    /** Forgets all queues but [names]. */
    fun retain(names: Set<String>) {
        queues.keys.retainAll(names)
    }

    private class Level {
        var count = 0
        var mean = 0.0
    }

    private companion object {
        /** Runs after which the history counts as much as the caller's estimate. */
        const val KNOWN_AFTER_RUNS = 10
        const val LEVEL_WEIGHT = 0.01
    }
}
