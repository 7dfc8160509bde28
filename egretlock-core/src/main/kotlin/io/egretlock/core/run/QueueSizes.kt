package io.egretlock.core.run

import kotlin.math.max

/** Mean work of each queue's recent jobs. */
internal class QueueSizes {
    private val queues = HashMap<String, Mean>()

    /** Records a job of [work] and returns its work as a multiple of the queue's mean. */
    fun relativeSize(
        queue: String,
        work: Double,
    ): Double {
        val mean = queues.getOrPut(queue) { Mean() }
        mean.add(work)
        return if (mean.value > 0) work / mean.value else 1.0
    }

    /** Removes the means of all queues except [names]. */
    fun retain(names: Set<String>) {
        queues.keys.retainAll(names)
    }

    private class Mean {
        private var count = 0

        var value = 0.0
            private set

        fun add(work: Double) {
            count++
            value += max(1.0 / count, MIN_SAMPLE_WEIGHT) * (work - value)
        }
    }

    private companion object {
        const val MIN_SAMPLE_WEIGHT = 0.01
    }
}
