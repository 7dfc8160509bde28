package io.egretlock.core.run

import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

/**
 * Requirements of a task that is to be placed on an agent.
 *
 * @property room room that the task needs.
 * @property expectedMillis run time on an upstream of speed 1.
 * @property remainingMillis time until the latency objective of the task's job; negative after that.
 */
data class TaskDemand(
    val room: Room,
    val expectedMillis: Double,
    val remainingMillis: Double,
)

/** Policy that chooses the agent to run a task. */
interface AgentChoice {
    /**
     * Returns one of [candidates], which all have room for [demand]; null if the task should wait for another agent.
     *
     * @param fastestSpeed highest speed of all available agents, including those without room.
     */
    fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastestSpeed: Double,
    ): AgentRoom?
}

/** Chooses the agent with the most free processor capacity. The baseline for [SlowestSufficientAgent]. */
class MostFreeAgent : AgentChoice {
    override fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastestSpeed: Double,
    ): AgentRoom? = candidates.maxByOrNull { it.free.cpuMillicores }
}

/**
 * Chooses the slowest upstream that still meets the latency objective, so that faster ones stay free for tasks that
 * need them. Upstreams that prefer this entry (see [EntryPreference]) come first, then upstreams with at least a
 * quarter of their processor free, then the rest. Among upstreams of similar speed that do not prefer this entry, the
 * choice is random and weighted by free processor capacity, so that different entries spread over them.
 *
 * Intended for a mix of short and long tasks on upstreams of several hardware generations: a long task on a slow
 * upstream always misses its objective, a short one does not. While some upstream could still meet the objective once
 * it has room, the task waits for it; after that the fastest upstream with room gets the task.
 */
class SlowestSufficientAgent(
    private val random: Random,
    private val margin: Double = ESTIMATE_MARGIN,
) : AgentChoice {
    override fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastestSpeed: Double,
    ): AgentRoom? {
        val sufficient =
            candidates.filter { demand.expectedMillis * margin / it.report.speed <= demand.remainingMillis }
        if (sufficient.isNotEmpty()) return choosePreferredFirst(sufficient)
        val canStillBeInTime = demand.expectedMillis / fastestSpeed <= demand.remainingMillis
        return if (canStillBeInTime) null else candidates.maxByOrNull { it.report.speed }
    }

    private fun choosePreferredFirst(sufficient: List<AgentRoom>): AgentRoom {
        val preferred = sufficient.filter { it.report.isPreferred }
        if (preferred.isNotEmpty()) return slowestClassOf(preferred).maxBy { it.free.cpuMillicores }
        val spare = sufficient.filter { it.free.cpuMillicores >= it.report.total.cpuMillicores * MIN_SPARE_SHARE }
        return if (spare.isNotEmpty()) drawByFree(slowestClassOf(spare)) else sufficient.maxBy { it.free.cpuMillicores }
    }

    private fun slowestClassOf(rooms: List<AgentRoom>): List<AgentRoom> {
        val slowestClass = rooms.minOf { speedClass(it.report.speed) }
        return rooms.filter { speedClass(it.report.speed) == slowestClass }
    }

    private fun drawByFree(rooms: List<AgentRoom>): AgentRoom {
        var remaining = random.nextDouble() * rooms.sumOf { it.free.cpuMillicores }
        return rooms.firstOrNull { room ->
            remaining -= room.free.cpuMillicores
            remaining < 0
        } ?: rooms.last()
    }

    private fun speedClass(speed: Double): Int = (ln(speed) / SPEED_CLASS_WIDTH).roundToInt()

    private companion object {
        /**
         * Safety factor on expected run times, which are rough estimates, when upstreams are tested for sufficient
         * speed.
         */
        const val ESTIMATE_MARGIN = 1.3

        /** Width, on a logarithmic scale, of a class of speeds that count as equal: about a factor of 1.5. */
        const val SPEED_CLASS_WIDTH = 0.4

        /**
         * Smallest free share of an upstream's processor at which it is chosen before fuller upstreams. A share of a
         * tenth causes more refused starts: in a replay with eleven entries 567 of 16534, against 394 of 16361 with a
         * quarter.
         */
        const val MIN_SPARE_SHARE = 0.25
    }
}
