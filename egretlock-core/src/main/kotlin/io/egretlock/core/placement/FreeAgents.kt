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

    /** The agent that should start the next task; null if none is free. */
    fun best(): AgentState? {
        var best: Domain? = null
        for (domain in domains.values) {
            if (domain.free.isNotEmpty() && (best == null || domain.isBetterThan(best))) best = domain
        }
        return best?.free?.first()
    }

    private fun domainOf(agent: AgentState): Domain = domains.getOrPut(agent.view.failureDomain) { Domain() }

    private class Domain {
        val free = TreeSet(FASTEST_FIRST)
        var running = 0
        var slots = 0

        private val load: Double
            get() = running.toDouble() / slots.coerceAtLeast(1)

        fun isBetterThan(other: Domain): Boolean {
            val step = free.first().speedStep
            val otherStep = other.free.first().speedStep
            return step < otherStep || step == otherStep && load < other.load
        }
    }

    private companion object {
        val FASTEST_FIRST: Comparator<AgentState> =
            compareBy<AgentState> { it.speedStep }
                .thenBy { it.load }
                .thenBy { it.id.name }
                .thenBy { it.id.incarnation }
    }
}
