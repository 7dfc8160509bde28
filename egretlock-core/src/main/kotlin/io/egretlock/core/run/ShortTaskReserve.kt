package io.egretlock.core.run

import kotlin.math.exp
import kotlin.math.max

/** Decides how much processor long tasks must leave free. */
interface RoomReserve {
    /** A job of [queue] arrived: [millicoreMillis] of work in tasks of [taskMillis]. */
    fun arrived(
        queue: String,
        millicoreMillis: Double,
        taskMillis: Double,
        nowMillis: Long,
    )

    /**
     * Processor, in thousandths of a core, that a task of [queue] must leave free.
     *
     * @param inUse processor that tasks of each queue hold now.
     */
    fun reservedFor(
        queue: String,
        inUse: Map<String, Long>,
        nowMillis: Long,
    ): Double
}

/** Reserves nothing: the baseline for [ShortTaskReserve]. */
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
 * Keeps the room free that shorter tasks are about to need, as their arrivals of the last second or so tell.
 *
 * Answers a crest above the room in which long tasks hold everything: a short task has little time to wait, and room that
 * frees at the pace of long tasks comes too late for it, while a long task can wait for several short ones.
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
            if (isShorter) max(0.0, demand.millicores(nowMillis) * SURPLUS - (inUse[name] ?: 0L)) else 0.0
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
            millicores = millicores(nowMillis) + millicoreMillis / WINDOW_MILLIS
            updatedAtMillis = nowMillis
            taskMillis += TASK_WEIGHT * (newTaskMillis - taskMillis)
        }

        fun millicores(nowMillis: Long): Double = millicores * exp((updatedAtMillis - nowMillis) / WINDOW_MILLIS)
    }

    private companion object {
        /** Time that arrivals count for, in milliseconds; demand swings within seconds. */
        const val WINDOW_MILLIS = 1_000.0

        /** Factor by which tasks must be shorter for room to be kept for them. */
        const val SHORTER_FACTOR = 2.0

        /** Factor on the mean demand, which comes in bunches. */
        const val SURPLUS = 1.5
        const val TASK_WEIGHT = 0.05
    }
}
