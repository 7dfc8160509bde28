package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.UpstreamAnnouncement

/** The agents that a [Home] knows: which are connected, what each holds, and what each was last asked for. */
internal class HomeAgents {
    private val agents = linkedMapOf<ProcessId, KnownAgent>()

    /** Records a connection; true if the agent was known and had been disconnected. */
    fun connected(
        agent: ProcessId,
        view: AgentView?,
    ): Boolean {
        val known = agents.getOrPut(agent) { KnownAgent(agent) }
        val reconnected = known.awaySinceMillis != null
        known.view = view
        if (reconnected) known.wanted = 0
        known.awaySinceMillis = null
        return reconnected
    }

    fun disconnected(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        agents[agent]?.awaySinceMillis = nowMillis
    }

    /** Another incarnation under the same name, which ended before [agent] began. */
    fun earlierIncarnation(agent: ProcessId): ProcessId? =
        agents.keys.firstOrNull { it.name == agent.name && it.incarnation < agent.incarnation }

    fun awayLongerThan(
        graceMillis: Long,
        nowMillis: Long,
    ): List<ProcessId> =
        agents
            .filterValues { known -> known.awaySinceMillis?.let { nowMillis - it > graceMillis } ?: false }
            .keys
            .toList()

    /** Forgets an agent and returns the tasks that it held. */
    fun forget(agent: ProcessId): Set<TaskId> = agents.remove(agent)?.tasks.orEmpty()

    fun placed(
        agent: ProcessId,
        task: TaskId,
    ) {
        agents[agent]?.tasks?.add(task)
    }

    fun removed(
        agent: ProcessId,
        task: TaskId,
    ) {
        agents[agent]?.tasks?.remove(task)
    }

    fun tasksOn(agent: ProcessId): Set<TaskId> = agents[agent]?.tasks.orEmpty()

    /**
     * Requests for the connected agents whose service began or ceased to need credits. Only that change is told, since
     * a completed task brings its credit along for as long as the request stands.
     */
    fun changedWants(wantedFor: (ServiceName) -> Int): List<HomeEffect.RequestCredits> {
        val wantedByService = mutableMapOf<ServiceName, Int>()
        return agents.values.filter { it.awaySinceMillis == null }.mapNotNull { known ->
            known.view?.upstream?.let { upstream ->
                known.requestFor(upstream, wantedByService.getOrPut(upstream.service) { wantedFor(upstream.service) })
            }
        }
    }

    private class KnownAgent(
        val agent: ProcessId,
    ) {
        val tasks = linkedSetOf<TaskId>()
        var view: AgentView? = null
        var awaySinceMillis: Long? = null
        var wanted = 0

        fun requestFor(
            upstream: UpstreamAnnouncement,
            needed: Int,
        ): HomeEffect.RequestCredits? {
            val request = minOf(needed, upstream.slots)
            if ((request > 0) == (wanted > 0)) return null
            wanted = request
            return HomeEffect.RequestCredits(agent, request)
        }
    }
}
