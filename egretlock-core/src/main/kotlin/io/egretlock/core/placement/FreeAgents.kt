package io.egretlock.core.placement

import io.egretlock.core.job.FailureDomain
import java.util.TreeSet

/**
 * Agents with a usable credit, ordered by [AgentState.rank]. Among agents of equal rank, those in the failure domain
 * with the smallest share of slots in use come first, and within a domain the least loaded ones. Operations take time
 * logarithmic in the number of agents and linear in the number of domains.
 */
internal class FreeAgents {
    private val domains = HashMap<FailureDomain, Domain>()

    /** Adds [agent]; its order must not change until it is removed. */
    fun add(agent: AgentState) {
        domainOf(agent).free.add(agent)
    }

    /** Removes [agent] if it is present. */
    fun remove(agent: AgentState) {
        domainOf(agent).free.remove(agent)
    }

    /** Adds [tasks], which may be negative, to the running tasks of the agent's domain. */
    fun countRunning(
        agent: AgentState,
        tasks: Int,
    ) {
        domainOf(agent).running += tasks
    }

    /** Adds [slots], which may be negative, to the slots of the agent's domain. */
    fun countSlots(
        agent: AgentState,
        slots: Int,
    ) {
        domainOf(agent).slots += slots
    }

    /** Returns the fastest free agent, or an agent to probe if there is one; null if none is free. */
    fun fastest(): AgentState? = choose({ it.first() }) { candidate, best -> candidate < best }

    /** Returns the slowest free agent; null if none is free. */
    fun slowest(): AgentState? = choose({ it.last() }) { candidate, best -> candidate > best }

    private inline fun choose(
        end: (TreeSet<AgentState>) -> AgentState,
        isBetterRank: (Int, Int) -> Boolean,
    ): AgentState? {
        var best: AgentState? = null
        var bestLoad = 0.0
        for (domain in domains.values) {
            val candidate = if (domain.free.isEmpty()) null else end(domain.free)
            val isBetter =
                candidate != null &&
                    (
                        best == null ||
                            isBetterRank(candidate.rank, best.rank) ||
                            candidate.rank == best.rank &&
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
            compareBy<AgentState> { it.rank }
                .thenBy { it.load }
                .thenBy { it.id.name }
                .thenBy { it.id.incarnation }
    }
}
