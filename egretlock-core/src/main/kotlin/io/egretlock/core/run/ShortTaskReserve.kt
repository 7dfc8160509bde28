package io.egretlock.core.run

import kotlin.math.exp
import kotlin.math.max

/** Policy that decides how much processor capacity the tasks of a queue must leave free for other queues. */
interface RoomReserve {
    /** Records the arrival of a job of [queue]: [millicoreMillis] of work, the longest task taking [taskMillis]. */
    fun arrived(
        queue: String,
        millicoreMillis: Double,
        taskMillis: Double,
        nowMillis: Long,
    )

    /**
     * Returns the processor capacity, in thousandths of a core, that a task of [queue] must leave free.
     *
     * @param inUse processor capacity in use by the tasks of each queue, in thousandths of a core.
     */
    fun reservedFor(
        queue: String,
        inUse: Map<String, Long>,
        nowMillis: Long,
    ): Double
}

/** Reserves nothing. The baseline for [ShortTaskReserve]. */
class NoReserve : RoomReserve {
    override fun arrived(
        queue: String,
        millicoreMillis: Double,
        taskMillis: Double,
        nowMillis: Long,
    ) = Unit

    override fun reservedFor(
        queue: String,
        inUse: Map<String, Long>,
        nowMillis: Long,
    ): Double = 0.0
}

/**
 * Reserves the processor capacity that shorter tasks are expected to need, estimated from their arrivals in about the
 * last second.
 *
 * Otherwise long tasks hold all the room during a load peak above the capacity. A short task has little time to wait,
 * and room that long tasks release comes too late for it, while a long task can wait for several short ones.
 */
class ShortTaskReserve : RoomReserve {
    private val queues = HashMap<String, Demand>()

    override fun arrived(
        queue: String,
        millicoreMillis: Double,
        taskMillis: Double,
        nowMillis: Long,
    ) {
        queues.getOrPut(queue) { Demand(taskMillis, nowMillis) }.add(millicoreMillis, taskMillis, nowMillis)
    }

    override fun reservedFor(
        queue: String,
        inUse: Map<String, Long>,
        nowMillis: Long,
    ): Double {
        val own = queues[queue] ?: return 0.0
        return queues.entries.sumOf { (name, demand) ->
            val isShorter = demand.taskMillis * SHORTER_FACTOR <= own.taskMillis
            if (isShorter) max(0.0, demand.millicores(nowMillis) * BURST_FACTOR - (inUse[name] ?: 0L)) else 0.0
        }
    }

    private class Demand(
        var taskMillis: Double,
        private var updatedAtMillis: Long,
    ) {
        private var millicores = 0.0

        fun add(
            millicoreMillis: Double,
            newTaskMillis: Double,
            nowMillis: Long,
        ) {
            millicores = millicores(nowMillis) + millicoreMillis / DECAY_MILLIS
            updatedAtMillis = nowMillis
            taskMillis += TASK_WEIGHT * (newTaskMillis - taskMillis)
        }

        fun millicores(nowMillis: Long): Double = millicores * exp((updatedAtMillis - nowMillis) / DECAY_MILLIS)
    }

    private companion object {
        /** Time constant of the exponential decay of past arrivals, in milliseconds; demand changes within seconds. */
        const val DECAY_MILLIS = 1_000.0

        /** Factor by which tasks must be shorter for room to be reserved for them. */
        const val SHORTER_FACTOR = 2.0

        /** Factor on the mean demand, because arrivals come in bursts. */
        const val BURST_FACTOR = 1.5
        const val TASK_WEIGHT = 0.05
    }
}
