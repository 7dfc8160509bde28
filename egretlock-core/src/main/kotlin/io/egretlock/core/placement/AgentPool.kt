package io.egretlock.core.placement

import io.egretlock.core.job.ProcessId
import kotlin.math.roundToInt

/**
 * Agents with their credits, and the order in which they are chosen.
 *
 * An agent that is more than [SLOW_RATIO] times as slow as the average of the others gets only probes, so that it does
 * not delay whole jobs, unless [slowAgentsAreNeeded] is set or no healthy agent is left.
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

    /** Credits of all agents that could be spent now. */
    var usableCredits = 0
        private set

    /**
     * Rate of this entry's share of all agents without the suspended ones, in milliseconds of work on an agent of
     * slowness 1 per millisecond.
     */
    val nominalRate: Double
        get() = allNominalRate / entryShare.count

    /** Slots that long tasks may still take; a long task also needs a credit to start. */
    val freeLongSlots: Int
        get() = (entryShare.of((slots * longShare).roundToInt()) - runningLong).coerceAtLeast(0)

    private var allNominalRate = 0.0
    private var nominalSlots = 0

    /** Number of agents that are neither slow nor suspended. */
    private var healthyAgents = 0
    private var slowAgentsAreAvailable = true

    /** Whether the backlog is so long that slow agents get more than probes. */
    var slowAgentsAreNeeded = false
        set(value) {
            field = value
            updateSlowAgents()
        }

    /** Adds an agent, or updates its view. */
    fun put(view: AgentView) {
        val known = agents[view.agent]
        if (known != null) {
            change(known) { known.view = view }
            return
        }
        val agent = AgentState(view)
        agents[view.agent] = agent
        agent.slowness = runTimes.slowness(view.agent)
        include(agent)
        updateSlowAgents()
    }

    /** Removes an agent that has been lost. */
    fun remove(id: ProcessId) {
        val agent = agents.remove(id) ?: return
        exclude(agent)
        free.countRunning(agent, -agent.running)
        runningLong -= agent.runningLong
        slowAgents.remove(agent)
        updateSlowAgents()
    }

    fun addCredits(
        id: ProcessId,
        count: Int,
    ) {
        val agent = agents[id] ?: return
        change(agent) { agent.credits += count }
    }

    /** Takes up to [count] unused credits back and returns how many. */
    fun returnCredits(
        id: ProcessId,
        count: Int,
    ): Int {
        val agent = agents[id] ?: return 0
        val returned = minOf(count, agent.credits)
        change(agent) { agent.credits -= returned }
        return returned
    }

    /**
     * Returns the agent that should start the next task of [taskClass]; null if none may. Long tasks go to the slowest
     * available agent, which leaves the fast agents to the short tasks.
     */
    fun best(taskClass: TaskClass): AgentState? =
        when {
            taskClass == TaskClass.SHORT -> free.fastest()
            freeLongSlots > 0 -> free.slowest()?.takeIf { it.availability == AgentAvailability.AVAILABLE }
            else -> null
        }

    /** Spends a credit of [agent] and counts the start of a task. */
    fun countStart(
        agent: AgentState,
        taskClass: TaskClass,
    ) = change(agent) {
        agent.credits--
        agent.mayProbe = false
        countRunning(agent, taskClass, 1)
    }

    /** Counts the end of a task, unless [agent] has been removed since the start. */
    fun countEnd(
        agent: AgentState,
        taskClass: TaskClass,
    ) {
        if (agents[agent.id] !== agent) return
        change(agent) {
            countRunning(agent, taskClass, -1)
            agent.slowness = runTimes.slowness(agent.id)
        }
        updateSlowAgents()
    }

    /** Suspends an agent, which then gets only probes, or restores it. */
    fun suspend(
        id: ProcessId,
        isSuspended: Boolean,
    ) {
        val agent = agents[id] ?: return
        if (agent.isSuspended == isSuspended) return
        change(agent) { agent.isSuspended = isSuspended }
        updateSlowAgents()
    }

    /** Lets an unavailable agent start one task. */
    fun allowProbe(id: ProcessId) {
        val agent = agents[id] ?: return
        change(agent) { agent.mayProbe = true }
    }

    /** Lets each idle slow agent start one task per [SLOW_PROBE_INTERVAL_MILLIS]. */
    fun probeSlowAgents(nowMillis: Long) {
        if (slowAgents.isEmpty() || nowMillis < nextSlowProbeAtMillis) return
        nextSlowProbeAtMillis = nowMillis + SLOW_PROBE_INTERVAL_MILLIS
        val idle = slowAgents.filter { it.running == 0 && !it.isSuspended }
        idle.forEach { agent -> allowProbe(agent.id) }
    }

    /** Sets the share of the slots that long tasks may hold, and this entry's share of all limits. */
    fun setLimits(
        longShare: Double,
        entryShare: EntryShare,
    ) {
        this.longShare = longShare
        this.entryShare = entryShare
    }

    private fun updateSlowAgents() {
        val areAvailable = slowAgentsAreNeeded || healthyAgents == 0
        if (areAvailable == slowAgentsAreAvailable) return
        slowAgentsAreAvailable = areAvailable
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

    private fun availability(agent: AgentState): AgentAvailability {
        val isAvailable = !agent.isSuspended && (!agent.isSlow || slowAgentsAreAvailable)
        return when {
            isAvailable -> AgentAvailability.AVAILABLE
            agent.mayProbe -> AgentAvailability.PROBE_ONLY
            else -> AgentAvailability.UNAVAILABLE
        }
    }

    /** Removes [agent] from all sorted sets and totals, changes it, and adds it again with its new values. */
    private inline fun change(
        agent: AgentState,
        block: () -> Unit,
    ) {
        exclude(agent)
        block()
        include(agent)
    }

    /** Mean slowness of the agents in the totals (harmonic mean, weighted by slots). */
    private fun othersSlowness(): Double =
        if (nominalSlots == 0) Double.POSITIVE_INFINITY else nominalSlots / allNominalRate

    private fun exclude(agent: AgentState) {
        free.remove(agent)
        free.countSlots(agent, -agent.view.upstream.slots)
        usableCredits -= agent.usableCredits
        allNominalRate -= agent.nominalRate
        if (!agent.isSuspended) nominalSlots -= agent.view.upstream.slots
        slots -= agent.view.upstream.slots
        if (agent.isHealthy) healthyAgents--
    }

    private fun include(agent: AgentState) {
        agent.isSlow = agent.slowness > SLOW_RATIO * othersSlowness()
        if (agent.isSlow) slowAgents.add(agent) else slowAgents.remove(agent)
        agent.availability = availability(agent)
        if (agent.usableCredits > 0) free.add(agent)
        free.countSlots(agent, agent.view.upstream.slots)
        usableCredits += agent.usableCredits
        allNominalRate += agent.nominalRate
        if (!agent.isSuspended) nominalSlots += agent.view.upstream.slots
        slots += agent.view.upstream.slots
        if (agent.isHealthy) healthyAgents++
    }

    private companion object {
        const val SLOW_RATIO = 4.0
        const val SLOW_PROBE_INTERVAL_MILLIS = 5_000L
    }
}
