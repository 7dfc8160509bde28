package io.egretlock.entry

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TeamName
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.ProcessRevision
import io.egretlock.protocol.SettingsRevision

/** The agents that are connected to this entry, each by the connection that it dialled last. Confined to [HomeTask]. */
internal class ConnectedAgents(
    private val metrics: EntryMetrics,
) {
    private val agents = linkedMapOf<ProcessId, ConnectedAgent>()
    private val acknowledged = linkedMapOf<ProcessId, MutableList<TaskId>>()

    /** Takes a new connection into use; true if it replaces an earlier one, which is closed. */
    fun open(opened: HomeInput.AgentOpened): Boolean {
        val replaced = agents.put(opened.agent, ConnectedAgent(opened))
        replaced?.link?.close()
        return replaced != null
    }

    /** Takes a connection out of use; false if it had been replaced before. */
    fun close(
        link: Link,
        agent: ProcessId,
    ): Boolean = isCurrent(link, agent) && agents.remove(agent) != null

    /** Whether [link] is the connection in use for [agent]. */
    fun isCurrent(
        link: Link,
        agent: ProcessId,
    ): Boolean = agents[agent]?.link === link

    /** What [agent] announces now, which is null while it has no upstream. */
    fun viewOf(agent: ProcessId): AgentView? = agents[agent]?.view

    /** Records what [agent] announces. */
    fun announced(
        agent: ProcessId,
        announcement: UpstreamAnnouncement?,
    ) {
        agents[agent]?.announce(announcement)
    }

    /** Records the settings revisions that are in force at [agent]. */
    fun applied(
        agent: ProcessId,
        revisions: List<SettingsRevision>,
    ) {
        agents[agent]?.applied(revisions)
    }

    /** Settings revision of [team] in force at each agent. */
    fun revisionsOf(team: TeamName): List<ProcessRevision> =
        agents.map { (agent, connected) -> ProcessRevision(agent, connected.revisions[team] ?: 0) }

    /** Sends [message] to [agent] if it is connected. */
    fun send(
        agent: ProcessId,
        message: Message,
    ) {
        agents[agent]?.link?.send(message)
        metrics.sent(message.kind())
    }

    /** Sends [message] to every agent. */
    fun sendAll(message: Message) = agents.keys.forEach { send(it, message) }

    /** Acknowledges [task] with the next [sendAcknowledgements]. */
    fun acknowledge(
        agent: ProcessId,
        task: TaskId,
    ) {
        acknowledged.getOrPut(agent) { mutableListOf() } += task
    }

    /** Sends what [acknowledge] has collected, one message for each agent. */
    fun sendAcknowledgements() {
        acknowledged.forEach { (agent, tasks) -> send(agent, Acknowledge(tasks)) }
        acknowledged.clear()
    }

    /** All agents as operators see them. */
    fun dump(): List<AgentDump> = agents.map { (agent, connected) -> dumpOf(agent, connected.view?.upstream) }

    private fun dumpOf(
        agent: ProcessId,
        upstream: UpstreamAnnouncement?,
    ) = AgentDump(agent, upstream?.service?.value, upstream?.slots ?: 0)

    private class ConnectedAgent(
        private val opened: HomeInput.AgentOpened,
    ) {
        val link = opened.link
        val revisions = mutableMapOf<TeamName, Long>()
        var view: AgentView? = null
            private set

        init {
            announce(opened.announcement)
            applied(opened.revisions)
        }

        fun announce(announcement: UpstreamAnnouncement?) {
            view = announcement?.let { AgentView(opened.agent, opened.failureDomain, it) }
        }

        fun applied(applied: List<SettingsRevision>) {
            applied.forEach { revisions[it.team] = it.revision }
        }
    }
}

/** Name of a message's kind in metrics. */
internal fun Message.kind(): String = this::class.simpleName.orEmpty()
