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

/** The agents connected to this entry, each with the connection that it dialled last. Confined to [HomeTask]. */
internal class ConnectedAgents(
    private val metrics: EntryMetrics,
) {
    private val agents = linkedMapOf<ProcessId, ConnectedAgent>()
    private val pendingAcknowledgements = linkedMapOf<ProcessId, MutableList<TaskId>>()

    /** Registers a new connection; true if it replaces an earlier one, which is closed. */
    fun open(opened: HomeInput.AgentOpened): Boolean {
        val replaced = agents.put(opened.agent, ConnectedAgent(opened))
        replaced?.link?.close()
        return replaced != null
    }

    /** Removes a connection; false if a later one had replaced it. */
    fun close(
        link: Link,
        agent: ProcessId,
    ): Boolean = isCurrent(link, agent) && agents.remove(agent) != null

    /** Whether [link] is the current connection of [agent]. */
    fun isCurrent(
        link: Link,
        agent: ProcessId,
    ): Boolean = agents[agent]?.link === link

    /** The current announcement of [agent]; null while the agent has no upstream. */
    fun viewOf(agent: ProcessId): AgentView? = agents[agent]?.view

    /** Records the upstream that [agent] announces; null if it has none. */
    fun recordAnnouncement(
        agent: ProcessId,
        announcement: UpstreamAnnouncement?,
    ) {
        agents[agent]?.announce(announcement)
    }

    /** Records the settings revisions that are in force at [agent]. */
    fun recordSettings(
        agent: ProcessId,
        revisions: List<SettingsRevision>,
    ) {
        agents[agent]?.recordSettings(revisions)
    }

    /** The settings revision of [team] in force at each agent; 0 if the agent has reported none. */
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

    /** Queues an acknowledgement of [task], sent by the next [sendAcknowledgements]. */
    fun acknowledge(
        agent: ProcessId,
        task: TaskId,
    ) {
        pendingAcknowledgements.getOrPut(agent) { mutableListOf() } += task
    }

    /** Sends the queued acknowledgements, one message for each agent. */
    fun sendAcknowledgements() {
        pendingAcknowledgements.forEach { (agent, tasks) -> send(agent, Acknowledge(tasks)) }
        pendingAcknowledgements.clear()
    }

    /** The state of all agents for operators. */
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
            recordSettings(opened.revisions)
        }

        fun announce(announcement: UpstreamAnnouncement?) {
            view = announcement?.let { AgentView(opened.agent, opened.failureDomain, it) }
        }

        fun recordSettings(applied: List<SettingsRevision>) {
            applied.forEach { revisions[it.team] = it.revision }
        }
    }
}

/** The message kind used as a metric label: the class name. */
internal fun Message.kind(): String = this::class.simpleName.orEmpty()
