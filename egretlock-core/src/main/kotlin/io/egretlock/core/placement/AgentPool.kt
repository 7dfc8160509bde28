package io.egretlock.core.placement

import io.egretlock.core.job.ProcessId
import kotlin.math.roundToInt

/**
 * Agents, their credits and their order of choice.
 *
 * An agent that is several times slower than the average serves only probes, so that it does not delay whole jobs,
 * unless [slowAgentsAreUsed] says that the backlog justifies it or no other agent is left.
 */
internal class AgentPool(
    private val runTimes: RunTimes,
) {
    private val agents = HashMap<ProcessId, AgentState>()
    private val slowAgents = LinkedHashSet<AgentState>()
    private val free = FreeAgents()
    private var longShare = 1.0
    private var entryShare = EntryShare()
    private var slots = 0
    private var runningLong = 0
    private var nextSlowProbeAtMillis = Long.MIN_VALUE

    val size: Int
        get() = agents.size

    /** Credits that could be spent now. */
    var usableCredits = 0
        private set

    /** Work that this entry's share of the agents does per millisecond, in milliseconds on an agent of slowness 1. */
    val nominalRate: Double
        get() = allNominalRate / entryShare.count

    /** Long tasks that could start now if there were credits. */
    val longRoom: Int
        get() = (entryShare.of((slots * longShare).roundToInt()) - runningLong).coerceAtLeast(0)

    private var allNominalRate = 0.0
    private var nominalSlots = 0

    /** Agents that are neither slow nor suspended. */
    private var fitAgents = 0
    private var slowAgentsAreOpen = true

    /** Whether slow agents get more than probes. */
    var slowAgentsAreUsed = false
        set(value) {
            field = value
            reviewSlowAgents()
        }

    /** Makes an agent available or updates its view. */
    fun changed(view: AgentView) {
        val known = agents[view.agent]
        if (known != null) {
            change(known) { known.view = view }
            return
        }
        val agent = AgentState(view)
        agents[view.agent] = agent
        agent.slowness = runTimes.slowness(view.agent)
        include(agent)
        reviewSlowAgents()
    }

    /** Forgets an agent. */
    fun lost(id: ProcessId) {
        val agent = agents.remove(id) ?: return
        exclude(agent)
        free.countRunning(agent, -agent.running)
        runningLong -= agent.runningLong
        slowAgents.remove(agent)
        reviewSlowAgents()
    }

    fun granted(
        id: ProcessId,
        count: Int,
    ) {
        val agent = agents[id] ?: return
        change(agent) { agent.credits += count }
    }

    /** Gives up to [count] credits back and returns how many. */
    fun recalled(
        id: ProcessId,
        count: Int,
    ): Int {
        val agent = agents[id] ?: return 0
        val returned = minOf(count, agent.credits)
        change(agent) { agent.credits -= returned }
        return returned
    }

    /**
     * The agent that should start the next task of [taskClass]; null if none is free. Long tasks leave the fast agents
     * to the short ones.
     */
    fun best(taskClass: TaskClass): AgentState? =
        when {
            taskClass == TaskClass.SHORT -> free.fastest()
            longRoom > 0 -> free.slowest()?.takeIf { it.access == AgentAccess.OPEN }
            else -> null
        }

    /** Spends a credit of [agent] on a task. */
    fun started(
        agent: AgentState,
        taskClass: TaskClass,
    ) = change(agent) {
        agent.credits--
        agent.mayProbe = false
        countRunning(agent, taskClass, 1)
    }

    /** Counts the end of a task, unless [agent] has been lost since its start. */
    fun ended(
        agent: AgentState,
        taskClass: TaskClass,
    ) {
        if (agents[agent.id] !== agent) return
        change(agent) {
            countRunning(agent, taskClass, -1)
            agent.slowness = runTimes.slowness(agent.id)
        }
        reviewSlowAgents()
    }

    /** Closes an agent for all but probes, or opens it again. */
    fun suspend(
        id: ProcessId,
        isSuspended: Boolean,
    ) {
        val agent = agents[id] ?: return
        if (agent.isSuspended == isSuspended) return
        change(agent) { agent.isSuspended = isSuspended }
        reviewSlowAgents()
    }

    /** Lets a closed agent start one task. */
    fun allowProbe(id: ProcessId) {
        val agent = agents[id] ?: return
        change(agent) { agent.mayProbe = true }
    }

    /** Lets idle slow agents start one task each, once per interval. */
    fun probeSlowAgents(nowMillis: Long) {
        if (slowAgents.isEmpty() || nowMillis < nextSlowProbeAtMillis) return
        nextSlowProbeAtMillis = nowMillis + SLOW_PROBE_INTERVAL_MILLIS
        val idle = slowAgents.filter { it.running == 0 && !it.isSuspended }
        idle.forEach { agent -> allowProbe(agent.id) }
    }

    /** Applies new limits. */
    fun limitsChanged(
        longShare: Double,
        entryShare: EntryShare,
    ) {
        this.longShare = longShare
        this.entryShare = entryShare
    }

    private fun reviewSlowAgents() {
        val areOpen = slowAgentsAreUsed || fitAgents == 0
        if (areOpen == slowAgentsAreOpen) return
        slowAgentsAreOpen = areOpen
        slowAgents.toList().forEach { agent -> change(agent) { } }
    }

    private fun countRunning(
        agent: AgentState,
        taskClass: TaskClass,
        tasks: Int,
    ) {
        agent.running += tasks
        free.countRunning(agent, tasks)
        if (taskClass == TaskClass.LONG) {
            agent.runningLong += tasks
            runningLong += tasks
        }
    }

    private fun access(agent: AgentState): AgentAccess {
        val isOpen = !agent.isSuspended && (!agent.isSlow || slowAgentsAreOpen)
        return when {
            isOpen -> AgentAccess.OPEN
            agent.mayProbe -> AgentAccess.PROBE
            else -> AgentAccess.CLOSED
        }
    }

    /** Takes [agent] out of all orders and sums, changes it, and puts it back. */
    private inline fun change(
        agent: AgentState,
        block: () -> Unit,
    ) {
        exclude(agent)
        block()
        include(agent)
    }

    /** Mean slowness of the agents that are in the sums, by the work that they do. */
    private fun othersSlowness(): Double =
        if (nominalSlots == 0) Double.POSITIVE_INFINITY else nominalSlots / allNominalRate

    private fun exclude(agent: AgentState) {
        free.remove(agent)
        free.countSlots(agent, -agent.view.upstream.slots)
        usableCredits -= agent.usableCredits
        allNominalRate -= agent.nominalRate
        if (!agent.isSuspended) nominalSlots -= agent.view.upstream.slots
        slots -= agent.view.upstream.slots
        if (agent.isFit) fitAgents--
    }

    private fun include(agent: AgentState) {
        agent.isSlow = agent.slowness > SLOW_RATIO * othersSlowness()
        if (agent.isSlow) slowAgents.add(agent) else slowAgents.remove(agent)
        agent.access = access(agent)
        if (agent.usableCredits > 0) free.add(agent)
        free.countSlots(agent, agent.view.upstream.slots)
        usableCredits += agent.usableCredits
        allNominalRate += agent.nominalRate
        if (!agent.isSuspended) nominalSlots += agent.view.upstream.slots
        slots += agent.view.upstream.slots
        if (agent.isFit) fitAgents++
    }

    private companion object {
        const val SLOW_RATIO = 4.0
        const val SLOW_PROBE_INTERVAL_MILLIS = 5_000L
    }
}
