package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId

/** The agents that a [Home] knows: which are connected, and which tasks each holds. */
internal class HomeAgents {
    private val agents = linkedMapOf<ProcessId, KnownAgent>()

    /** Records a connection; true if the agent was known and had been disconnected. */
    fun connected(agent: ProcessId): Boolean {
        val known = agents.getOrPut(agent) { KnownAgent() }
        val reconnected = known.awaySinceMillis != null
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

    private class KnownAgent {
        val tasks = linkedSetOf<TaskId>()
        var awaySinceMillis: Long? = null
    }
}
