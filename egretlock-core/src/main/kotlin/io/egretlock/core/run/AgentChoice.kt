package io.egretlock.core.run

import kotlin.math.ln
import kotlin.math.roundToInt
import kotlin.random.Random

/**
 * A task to be placed.
 *
 * @property expectedMillis run time on an upstream of speed 1.
 * @property leftMillis time until its job's latency objective; negative once that has passed.
 */
data class TaskDemand(
    val room: Room,
    val expectedMillis: Double,
    val leftMillis: Double,
)

/** Chooses the agent that gets a task. */
interface AgentChoice {
    /** One of [candidates], which all have room for [demand]; null if the task should wait for another agent. */
    fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastest: Double,
    ): AgentRoom?
}

/** Takes the agent with the most free processor: the baseline for [SlowestSufficientAgent]. */
class MostFreeAgent : AgentChoice {
    override fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastest: Double,
    ): AgentRoom? = candidates.maxByOrNull { it.free.cpuMillicores }
}

/**
 * Takes the slowest upstream that still meets the latency objective, so that the fast ones stay free for tasks that need
 * them. Upstreams whose room this entry has the first call on go before all others; of the others those go first that have
 * room to spare, and of equally fast ones each entry draws its own, the emptier ones more often.
 *
 * Answers a mix of short and long tasks on upstreams of several generations: a long task on a slow upstream is late
 * whatever happens, a short one is not. While some upstream could still meet the objective once it has room, the task
 * waits for it; after that any upstream will do, the fastest first.
 */
class SlowestSufficientAgent(
    private val random: Random,
    private val margin: Double = ESTIMATE_MARGIN,
) : AgentChoice {
    override fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastest: Double,
    ): AgentRoom? {
        val sufficient = candidates.filter { demand.expectedMillis * margin / it.report.speed <= demand.leftMillis }
        if (sufficient.isNotEmpty()) return ownOrOther(sufficient)
        val canStillBeInTime = demand.expectedMillis / fastest <= demand.leftMillis
        return if (canStillBeInTime) null else candidates.maxByOrNull { it.report.speed }
    }

    private fun ownOrOther(sufficient: List<AgentRoom>): AgentRoom {
        val own = sufficient.filter { it.report.isPreferred }
        if (own.isNotEmpty()) return slowest(own).maxBy { it.free.cpuMillicores }
        val spare = sufficient.filter { it.free.cpuMillicores >= it.report.total.cpuMillicores * SPARE_SHARE }
        return if (spare.isNotEmpty()) drawByFree(slowest(spare)) else sufficient.maxBy { it.free.cpuMillicores }
    }

    private fun slowest(rooms: List<AgentRoom>): List<AgentRoom> {
        val slowestClass = rooms.minOf { speedClass(it.report.speed) }
        return rooms.filter { speedClass(it.report.speed) == slowestClass }
    }

    private fun drawByFree(rooms: List<AgentRoom>): AgentRoom {
        var left = random.nextDouble() * rooms.sumOf { it.free.cpuMillicores }
        return rooms.firstOrNull { room ->
            left -= room.free.cpuMillicores
            left < 0
        } ?: rooms.last()
    }

    private fun speedClass(speed: Double): Int = (ln(speed) / SPEED_CLASS_WIDTH).roundToInt()

    private companion object {
        /** Factor on expected run times, which are rough, before an upstream counts as fast enough. */
        const val ESTIMATE_MARGIN = 1.3

        /** Logarithmic width of speeds that count as equal: about a factor of 1.5. */
        const val SPEED_CLASS_WIDTH = 0.4

        /**
         * Share of an upstream's processor that is free where it has room to spare. In the replay of eleven entries 394 of
         * 16361 starts are refused with it, 567 of 16534 with a tenth.
         */
        const val SPARE_SHARE = 0.25
    }
}
