package io.egretlock.agent.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.ConnectedEntry
import io.egretlock.protocol.Link
import io.egretlock.protocol.RunAgentHello
import io.egretlock.protocol.RunEntryHello
import io.egretlock.protocol.RunLinkTiming
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Maintains a connection to each known entry: the entries listed in the store, the seeds, and the entries that other
 * entries name. Connection attempts to an address that is not listed end once it has been unreachable for
 * [UNREACHABLE_LIMIT_MILLIS].
 */
internal class EntryConnector(
    private val agent: ProcessId,
    private val failureDomain: FailureDomain,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
    private val tell: (RunAgentInput) -> Unit,
) {
    private val dialedAddresses = HashSet<NodeAddress>()
    private var listedAddresses: Set<NodeAddress> = emptySet()

    /** Replaces the entries listed in the store with [addresses] and connects to the new ones. */
    fun updateListed(addresses: Set<NodeAddress>) {
        listedAddresses = addresses
        connect(addresses)
    }

    /** Connects to those of [addresses] that have no connection yet. */
    fun connect(addresses: Collection<NodeAddress>) {
        for (address in addresses) if (dialedAddresses.add(address)) scope.launch { keepConnected(address) }
    }

    private suspend fun keepConnected(address: NodeAddress) {
        var lastReachedMillis = nowMillis()
        var delayMillis = MIN_RECONNECT_DELAY_MILLIS
        while (address in listedAddresses || nowMillis() - lastReachedMillis < UNREACHABLE_LIMIT_MILLIS) {
            if (connectOnce(address)) {
                lastReachedMillis = nowMillis()
                delayMillis = MIN_RECONNECT_DELAY_MILLIS
            }
            delay(delayMillis)
            delayMillis = (delayMillis * 2).coerceAtMost(MAX_RECONNECT_DELAY_MILLIS)
        }
        dialedAddresses.remove(address)
    }

    /** Connects and serves the connection until it ends; returns whether the entry sent its hello. */
    private suspend fun connectOnce(address: NodeAddress): Boolean {
        val link = Link.dialOrNull(address, loop, scope, TIMING) ?: return false
        try {
            link.send(RunAgentHello(agent, failureDomain))
            val hello = withTimeoutOrNull(TIMING.connectMillis) { link.incoming.receiveCatching().getOrNull() }
            if (hello is RunEntryHello) receiveMessages(link, hello)
            return hello is RunEntryHello
        } finally {
            tell(RunAgentInput.EntryLost(link))
            link.close()
        }
    }

    private suspend fun receiveMessages(
        link: Link,
        hello: RunEntryHello,
    ) {
        connect(hello.entries)
        tell(RunAgentInput.EntryConnected(ConnectedEntry(hello.entry, hello.failureDomain), link))
        for (message in link.incoming) {
            if (message is RunEntryHello) connect(message.entries) else tell(RunAgentInput.EntryMessage(link, message))
        }
    }

    private companion object {
        val TIMING = RunLinkTiming.TIMING
        const val MIN_RECONNECT_DELAY_MILLIS = 50L
        const val MAX_RECONNECT_DELAY_MILLIS = 500L

        /** Time after which an unreachable address that the store does not list is no longer tried. */
        const val UNREACHABLE_LIMIT_MILLIS = 30_000L
    }
}
