package io.egretlock.agent

import io.egretlock.core.gate.CreditAction
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.CreditRecall
import io.egretlock.protocol.Message

/** Current connection of each entry. Accessed only by the coroutine of the [Agent]. */
internal class EntryConnections {
    private val byEntry = LinkedHashMap<ProcessId, EntryConnection>()
    private val lastEntryByAddress = HashMap<NodeAddress, ProcessId>()

    val all: List<EntryConnection>
        get() = byEntry.values.toList()

    /** Current connection of [entry]. */
    operator fun get(entry: ProcessId): EntryConnection? = byEntry[entry]

    /** Whether [connection] is the current one of its entry. */
    fun isCurrent(connection: EntryConnection): Boolean = byEntry[connection.entry] === connection

    /** Whether the entry that last answered at [address] is connected under another address. */
    fun isConnectedElsewhere(address: NodeAddress): Boolean {
        val connection = lastEntryByAddress[address]?.let { byEntry[it] }
        return connection != null && connection.address != address
    }

    /** Makes [connection] the current one of its entry and returns the one that it replaces. */
    fun put(connection: EntryConnection): EntryConnection? {
        lastEntryByAddress[connection.address] = connection.entry
        return byEntry.put(connection.entry, connection)
    }

    /** Removes the recorded entries of all addresses except [addresses]. */
    fun retainAddresses(addresses: Set<NodeAddress>) {
        lastEntryByAddress.keys.retainAll(addresses)
    }

    /** Removes the current connection of [entry]. */
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

    /** Sends each of [actions] as a message to its entry. */
    fun send(actions: List<CreditAction>) =
        actions.forEach { action ->
            when (action) {
                is CreditAction.Grant -> send(action.entry, CreditGrant(action.count))
                is CreditAction.Recall -> send(action.entry, CreditRecall(action.count))
            }
        }
}
