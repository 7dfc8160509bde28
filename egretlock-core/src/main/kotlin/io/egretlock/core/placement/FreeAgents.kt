package io.egretlock.core.placement

import io.egretlock.core.job.FailureDomain
import java.util.TreeSet

/**
 * Agents with a free credit, the fastest first and the least loaded first among equally fast ones, spread over failure
 * domains by the share of slots in use in each. Costs logarithmic time in the agents and linear time in the domains.
 */
internal class FreeAgents {
    private val domains = HashMap<FailureDomain, Domain>()

    /** Adds [agent]; its order must not change until it is removed. */
    fun add(agent: AgentState) {
        domainOf(agent).free.add(agent)
    }

    /** Removes [agent] if it is there. */
    fun remove(agent: AgentState) {
        domainOf(agent).free.remove(agent)
    }

    /** Counts [tasks] more or fewer running tasks in the agent's domain. */
    fun countRunning(
        agent: AgentState,
        tasks: Int,
    ) {
        domainOf(agent).running += tasks
    }

    /** Counts [slots] more or fewer slots in the agent's domain. */
    fun countSlots(
        agent: AgentState,
        slots: Int,
    ) {
        domainOf(agent).slots += slots
    }

    /** The fastest free agent; null if none is free. */
    fun fastest(): AgentState? = choose({ it.first() }) { candidate, best -> candidate < best }

    /** The slowest free agent; null if none is free. */
    fun slowest(): AgentState? = choose({ it.last() }) { candidate, best -> candidate > best }

    private inline fun choose(
        end: (TreeSet<AgentState>) -> AgentState,
        isBetterStep: (Int, Int) -> Boolean,
    ): AgentState? {
        var best: AgentState? = null
        var bestLoad = 0.0
        for (domain in domains.values) {
            val candidate = if (domain.free.isEmpty()) null else end(domain.free)
            val isBetter =
                candidate != null &&
                    (
                        best == null ||
                            isBetterStep(candidate.speedStep, best.speedStep) ||
                            candidate.speedStep == best.speedStep &&
                            domain.load < bestLoad
                    )
            if (isBetter) {
                best = candidate
                bestLoad = domain.load
            }
        }
        return best
    }

    private fun domainOf(agent: AgentState): Domain = domains.getOrPut(agent.view.failureDomain) { Domain() }

    private class Domain {
        val free = TreeSet(FASTEST_FIRST)
        var running = 0
        var slots = 0

        val load: Double
            get() = running.toDouble() / slots.coerceAtLeast(1)
    }

    private companion object {
        val FASTEST_FIRST: Comparator<AgentState> =
            compareBy<AgentState> { it.speedStep }
                .thenBy { it.load }
                .thenBy { it.id.name }
                .thenBy { it.id.incarnation }
    }
}
