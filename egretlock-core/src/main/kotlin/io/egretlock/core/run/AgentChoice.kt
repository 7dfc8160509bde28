package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import kotlin.math.ln
import kotlin.math.roundToInt

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
 * them; among equals one in the entry's own failure domain, then the fullest one, so that wide tasks find room.
 *
 * Answers a mix of short and long tasks on upstreams of several generations: a long task on a slow upstream is late
 * whatever happens, a short one is not. While some upstream could still meet the objective once it has room, the task
 * waits for it; after that any upstream will do, the fastest first.
 */
class SlowestSufficientAgent(
    private val ownDomain: FailureDomain,
    private val margin: Double = ESTIMATE_MARGIN,
) : AgentChoice {
    override fun choose(
        demand: TaskDemand,
        candidates: List<AgentRoom>,
        fastest: Double,
    ): AgentRoom? {
        val sufficient = candidates.filter { demand.expectedMillis * margin / it.report.speed <= demand.leftMillis }
        if (sufficient.isNotEmpty()) return sufficient.minWithOrNull(preference)
        val canStillBeInTime = demand.expectedMillis / fastest <= demand.leftMillis
        return if (canStillBeInTime) null else candidates.maxByOrNull { it.report.speed }
    }

    private val preference: Comparator<AgentRoom> =
        compareBy<AgentRoom> { speedClass(it.report.speed) }
            .thenBy { if (it.failureDomain == ownDomain) 0 else 1 }
            .thenBy { it.free.cpuMillicores }

    private fun speedClass(speed: Double): Int = (ln(speed) / SPEED_CLASS_WIDTH).roundToInt()

    private companion object {
        /** Factor on expected run times, which are rough, before an upstream counts as fast enough. */
        const val ESTIMATE_MARGIN = 1.3

        /** Logarithmic width of speeds that count as equal: about a factor of 1.5. */
        const val SPEED_CLASS_WIDTH = 0.4
    }
}
