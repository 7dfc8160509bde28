package io.egretlock.entry.run

import io.egretlock.core.job.ProcessId
import io.egretlock.protocol.CheckEntry
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.Relayed

/** Ways from this entry to the other entries: direct connections, and agents that are connected to both. */
internal class EntryLinks {
    private val direct = HashMap<ProcessId, LinkedHashSet<Link>>()
    private val reportedByAgent = LinkedHashMap<Link, Set<ProcessId>>()

    /** Entries that this one or an agent of it is connected to; may include this entry itself. */
    val reachable: Set<ProcessId>
        get() = reportedByAgent.values.flatMapTo(HashSet(direct.keys)) { it }

    /** Whether any agent has reported the entries that it is connected to. */
    val hasAgents: Boolean
        get() = reportedByAgent.isNotEmpty()

    /** Adds a direct connection to [entry]. */
    fun onConnected(
        entry: ProcessId,
        link: Link,
    ) {
        direct.getOrPut(entry) { LinkedHashSet() } += link
    }

    /** Removes a direct connection to [entry]. */
    fun onDisconnected(
        entry: ProcessId,
        link: Link,
    ) {
        val links = direct[entry] ?: return
        links -= link
        if (links.isEmpty()) direct -= entry
    }

    /** Records which entries the agent at the other end of [link] is connected to. */
    fun onReported(
        link: Link,
        entries: Collection<ProcessId>,
    ) {
        reportedByAgent[link] = entries.toSet()
    }

    /** Removes the connection [link] to an agent. */
    fun onAgentLost(link: Link) {
        reportedByAgent -= link
    }

    /**
     * Sends [message] to [entry] over a direct connection, and through an agent if there is no such connection or if
     * [mayBeCut], since a connection that was cut is noticed late.
     */
    fun send(
        entry: ProcessId,
        message: Message,
        mayBeCut: Boolean = false,
    ) {
        val isSent = direct[entry]?.lastOrNull()?.send(message) ?: false
        if (!isSent || mayBeCut) relay(entry, message)
    }

    /**
     * Lets all ends of connections to [entry] find out soon whether it is silent. An idle connection notices silence
     * late, and until then jobs wait for the answers of an entry that may be gone.
     */
    fun check(entry: ProcessId) {
        direct[entry]?.forEach { it.markBusy() }
        reportedByAgent.filterValues { entry in it }.keys.forEach { it.send(CheckEntry(entry)) }
    }

    /** Sends [message] through all agents that are connected to [entry], as any single one may have lost it too. */
    private fun relay(
        entry: ProcessId,
        message: Message,
    ) {
        val agents = reportedByAgent.filterValues { entry in it }.keys.take(MAX_RELAYS)
        agents.forEach { it.send(Relayed(entry, message)) }
    }

    private companion object {
        /** Number of agents that relay the same message. */
        const val MAX_RELAYS = 3
    }
}
