package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId

/** Agents of a [Home], with the state of their connections and the tasks placed on them. */
internal class HomeAgents {
    private val agents = linkedMapOf<ProcessId, ConnectionState>()

    /** Records a connection. Returns true if it is a reconnection of a disconnected agent. */
    fun markConnected(agent: ProcessId): Boolean {
        val state = agents.getOrPut(agent) { ConnectionState() }
        val wasDisconnected = state.disconnectedSinceMillis != null
        state.disconnectedSinceMillis = null
        return wasDisconnected
    }

    fun markDisconnected(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        agents[agent]?.disconnectedSinceMillis = nowMillis
    }

    /** Returns an earlier incarnation of the same name as [agent], or null if there is none. */
    fun earlierIncarnation(agent: ProcessId): ProcessId? =
        agents.keys.firstOrNull { it.name == agent.name && it.incarnation < agent.incarnation }

    fun disconnectedLongerThan(
        graceMillis: Long,
        nowMillis: Long,
    ): List<ProcessId> =
        agents
            .filterValues { state -> state.disconnectedSinceMillis?.let { nowMillis - it > graceMillis } ?: false }
            .keys
            .toList()

    /** Removes an agent and returns the tasks that were placed on it. */
    fun remove(agent: ProcessId): Set<TaskId> = agents.remove(agent)?.tasks.orEmpty()

    fun addTask(
        agent: ProcessId,
        task: TaskId,
    ) {
        agents[agent]?.tasks?.add(task)
    }

    fun removeTask(
        agent: ProcessId,
        task: TaskId,
    ) {
        agents[agent]?.tasks?.remove(task)
    }

    fun tasksOn(agent: ProcessId): Set<TaskId> = agents[agent]?.tasks.orEmpty()

    private class ConnectionState {
        val tasks = linkedSetOf<TaskId>()
        var disconnectedSinceMillis: Long? = null
    }
}
