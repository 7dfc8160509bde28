package io.egretlock.agent.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.KnownEntry
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.RunAgentHello
import io.egretlock.protocol.RunEntryHello
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Keeps connections to all entries that are known: those listed in the store, the seeds, and those that other entries
 * name. An address that is not listed any more and was out of reach for [FORGET_MILLIS] is forgotten.
 */
internal class EntryDialers(
    private val agent: ProcessId,
    private val failureDomain: FailureDomain,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
    private val tell: (RunAgentInput) -> Unit,
) {
    private val dialed = HashSet<NodeAddress>()
    private var listed: Set<NodeAddress> = emptySet()

    /** Takes the entries that the store lists. */
    fun listed(addresses: Set<NodeAddress>) {
        listed = addresses
        know(addresses)
    }

    /** Takes entries that something else than the store names. */
    fun know(addresses: Collection<NodeAddress>) {
        for (address in addresses) if (dialed.add(address)) scope.launch { keepConnected(address) }
    }

    private suspend fun keepConnected(address: NodeAddress) {
        var reachedAt = nowMillis()
        var pauseMillis = SHORTEST_PAUSE_MILLIS
        while (address in listed || nowMillis() - reachedAt < FORGET_MILLIS) {
            if (connectOnce(address)) {
                reachedAt = nowMillis()
                pauseMillis = SHORTEST_PAUSE_MILLIS
            }
            delay(pauseMillis)
            pauseMillis = (pauseMillis * 2).coerceAtMost(LONGEST_PAUSE_MILLIS)
        }
        dialed.remove(address)
    }

    /** Connects and stays connected; returns whether the entry answered. */
    private suspend fun connectOnce(address: NodeAddress): Boolean {
        val link = Link.dialOrNull(address, loop, scope, TIMING) ?: return false
        try {
            link.send(RunAgentHello(agent, failureDomain))
            val hello = withTimeoutOrNull(TIMING.connectMillis) { link.incoming.receiveCatching().getOrNull() }
            if (hello is RunEntryHello) converse(link, hello)
            return hello is RunEntryHello
        } finally {
            tell(RunAgentInput.EntryLost(link))
            link.close()
        }
    }

    private suspend fun converse(
        link: Link,
        hello: RunEntryHello,
    ) {
        know(hello.entries)
        tell(RunAgentInput.EntryConnected(KnownEntry(hello.entry, hello.failureDomain), link))
        for (message in link.incoming) {
            if (message is RunEntryHello) know(message.entries) else tell(RunAgentInput.EntryMessage(link, message))
        }
    }

    private companion object {
        /**
         * Both ends notice a silent connection within this time, so that an agent has stopped the runs of an entry that it
         * can't reach well before their callers, who notice at the same time, repeat their requests 1300 ms later.
         */
        val TIMING = LinkTiming(heartbeatMillis = 150, silenceMillis = 600, connectMillis = 500)
        const val SHORTEST_PAUSE_MILLIS = 50L
        const val LONGEST_PAUSE_MILLIS = 500L

        /** Time after which an address that only a seed or another entry named is not tried any more. */
        const val FORGET_MILLIS = 30_000L
    }
}
