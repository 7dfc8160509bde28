package io.egretlock.entry.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.ConfigurationDocument
import io.egretlock.protocol.ConfigurationRequest
import io.egretlock.protocol.ConfigurationVersion
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.protocol.RunEntryHello
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/**
 * Connections to the other entries. They carry the version of the configuration and, on request, its document, so that
 * an entry that can't reach the store gets the configuration from the others. All other messages are passed to [tell].
 */
internal class EntryPeers(
    private val identity: ProcessId,
    private val failureDomain: FailureDomain,
    private val address: NodeAddress,
    private val configuration: ConfigurationTracker,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val tell: (RunEntryInput) -> Unit,
) {
    private val dialedAddresses = HashSet<NodeAddress>()
    private val links = HashSet<Link>()
    private var listedAddresses: Set<NodeAddress> = emptySet()

    /** Addresses of all listed entries and of this one. */
    val knownAddresses: List<NodeAddress>
        get() = (listedAddresses + address).toList()

    /** Replaces the entries listed in the store with [addresses] and connects to the new ones. */
    fun updateListed(addresses: Set<NodeAddress>) {
        listedAddresses = addresses
        connect(addresses)
    }

    /** Connects to those of [addresses] that have no connection yet. */
    fun connect(addresses: Collection<NodeAddress>) {
        for (other in addresses) {
            if (other != address && dialedAddresses.add(other)) scope.launch { keepConnected(other) }
        }
    }

    /** Sends the version of the current configuration to all connected entries. */
    fun announceVersion() = links.forEach { it.send(version()) }

    /** Serves a connection that another entry opened with [hello], until it ends. */
    suspend fun serve(
        link: Link,
        hello: RunEntryHello,
    ) {
        link.send(hello())
        receiveMessages(link, hello)
    }

    private suspend fun keepConnected(other: NodeAddress) {
        var failures = 0
        while (other in listedAddresses || failures < MAX_UNLISTED_FAILURES) {
            failures = if (connectOnce(other)) 0 else failures + 1
            delay(if (failures == 0) RECONNECT_DELAY_MILLIS else FAILURE_DELAY_MILLIS)
        }
        dialedAddresses.remove(other)
    }

    private suspend fun connectOnce(other: NodeAddress): Boolean {
        val link = Link.dialOrNull(other, loop, scope, TIMING) ?: return false
        link.send(hello())
        val hello = withTimeoutOrNull(TIMING.connectMillis) { link.incoming.receiveCatching().getOrNull() }
        if (hello is RunEntryHello) receiveMessages(link, hello) else link.close()
        return hello is RunEntryHello
    }

    private suspend fun receiveMessages(
        link: Link,
        hello: RunEntryHello,
    ) {
        connect(hello.entries)
        links += link
        tell(RunEntryInput.PeerConnected(hello.entry, link))
        link.send(version())
        try {
            for (message in link.incoming) onMessage(hello.entry, link, message)
        } finally {
            links -= link
            tell(RunEntryInput.PeerLost(hello.entry, link))
            link.close()
        }
    }

    private fun onMessage(
        entry: ProcessId,
        link: Link,
        message: Message,
    ) {
        when (message) {
            is RunEntryHello -> connect(message.entries)
            is ConfigurationVersion -> if (message.version > ownVersion()) requestDocument(link, message.version)
            ConfigurationRequest -> sendDocument(link)
            is ConfigurationDocument -> configuration.offer(message.document, "entry")
            else -> tell(RunEntryInput.PeerMessage(entry, message))
        }
    }

    /**
     * Requests the document of [version] after a delay. The store usually delivers it meanwhile, so that few documents
     * are sent twice.
     */
    private fun requestDocument(
        link: Link,
        version: Long,
    ) {
        scope.launch {
            if (ownVersion() > 0) delay(DOCUMENT_REQUEST_DELAY_MILLIS)
            if (version > ownVersion()) link.send(ConfigurationRequest)
        }
    }

    private fun sendDocument(link: Link) {
        val document = configuration.document ?: return
        link.send(ConfigurationDocument(ownVersion(), document))
    }

    private fun hello() = RunEntryHello(identity, failureDomain, knownAddresses)

    private fun version() = ConfigurationVersion(ownVersion())

    private fun ownVersion(): Long = configuration.current?.version ?: 0

    private companion object {
        /**
         * Connections to other entries carry no runs, so that a silent one may be noticed late unless an answer is
         * missing, see [EntryLinks.check].
         */
        val TIMING =
            LinkTiming(
                heartbeatMillis = 150,
                silenceMillis = 600,
                idleHeartbeatMillis = 600,
                idleSilenceMillis = 2_000,
                connectMillis = 500,
            )
        const val RECONNECT_DELAY_MILLIS = 50L
        const val FAILURE_DELAY_MILLIS = 500L

        /** Failed attempts, half a second apart, after which an entry that is not listed in the store is given up. */
        const val MAX_UNLISTED_FAILURES = 60

        /** Time for the store to deliver a new configuration before another entry is asked for it. */
        const val DOCUMENT_REQUEST_DELAY_MILLIS = 200L
    }
}
