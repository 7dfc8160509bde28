package io.egretlock.agent

import io.egretlock.core.gate.CreditAction
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.CreditRecall
import io.egretlock.protocol.Message

/** The connection in use for each entry. Confined to the [Agent]. */
internal class EntryConnections {
    private val byEntry = LinkedHashMap<ProcessId, EntryConnection>()
    private val lastSeenAt = HashMap<NodeAddress, ProcessId>()

    /** All connections in use. */
    val all: List<EntryConnection>
        get() = byEntry.values.toList()

    /** The connection in use for [entry]. */
    operator fun get(entry: ProcessId): EntryConnection? = byEntry[entry]

    /** Whether [connection] is the one in use for its entry. */
    fun isCurrent(connection: EntryConnection): Boolean = byEntry[connection.entry] === connection

    /** Whether the entry that last answered at [address] is connected under another address. */
    fun isConnectedElsewhere(address: NodeAddress): Boolean {
        val connection = lastSeenAt[address]?.let { byEntry[it] }
        return connection != null && connection.address != address
    }

    /** Puts [connection] in use and returns the one that it replaces. */
    fun put(connection: EntryConnection): EntryConnection? {
        lastSeenAt[connection.address] = connection.entry
        return byEntry.put(connection.entry, connection)
    }

    /** Forgets who was seen at addresses other than [addresses]. */
    fun retainAddresses(addresses: Set<NodeAddress>) {
        lastSeenAt.keys.retainAll(addresses)
    }

    /** Takes the connection of [entry] out of use. */
    fun remove(entry: ProcessId) {
        byEntry.remove(entry)
    }

    /** Sends [message] to [entry] if it is connected. */
    fun send(
        entry: ProcessId,
        message: Message,
    ) {
        byEntry[entry]?.link?.send(message)
    }

    /** Sends [message] to every connected entry. */
    fun sendAll(message: Message) = byEntry.values.forEach { it.link.send(message) }

    /** Sends the messages that [actions] stand for. */
    fun send(actions: List<CreditAction>) =
        actions.forEach { action ->
            when (action) {
                is CreditAction.Grant -> send(action.entry, CreditGrant(action.count))
                is CreditAction.Recall -> send(action.entry, CreditRecall(action.count))
            }
        }
}
