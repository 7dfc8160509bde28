package io.egretlock.core.run

import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/**
 * Expected run times of each queue's tasks on an upstream of speed 1.
 *
 * Callers' estimates and the queue's own history are both rough; their geometric mean is more accurate than either. The
 * number of queues is bounded by the configuration; queues that are removed from it are dropped here too.
 */
class QueueRunTimes {
    private val queues = HashMap<String, QueueHistory>()

    /**
     * Returns the expected run time, in milliseconds, of a task of [queue] that its caller estimates at
     * [estimatedMillis].
     */
    fun expectedMillis(
        queue: String,
        estimatedMillis: Long,
    ): Double {
        val estimate = max(estimatedMillis.toDouble(), 1.0)
        val history = queues[queue]?.takeIf { it.count >= MIN_HISTORY_RUNS } ?: return estimate
        return exp((ln(estimate) + history.logMean) / 2)
    }

    /** Records a successful run of [runMillis] on an upstream of [speed]. */
    fun record(
        queue: String,
        runMillis: Double,
        speed: Double,
    ) {
        val history = queues.getOrPut(queue) { QueueHistory() }
        history.count++
        val logSample = ln(max(runMillis * speed, 1.0))
        history.logMean += max(1.0 / history.count, MIN_SAMPLE_WEIGHT) * (logSample - history.logMean)
    }

    /** Removes the history of all queues except [names]. */
    fun retain(names: Set<String>) {
        queues.keys.retainAll(names)
    }

    private class QueueHistory {
        var count = 0
        var logMean = 0.0
    }

    private companion object {
        /** Number of runs from which the history counts as much as the caller's estimate. */
        const val MIN_HISTORY_RUNS = 10
        const val MIN_SAMPLE_WEIGHT = 0.01
    }
}
