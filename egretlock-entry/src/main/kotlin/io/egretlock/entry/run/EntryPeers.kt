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
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/**
 * Connections to the other entries. They carry the version of the configuration and, to an entry that lacks it, the
 * configuration itself, so that an entry that can't reach the store is served by the others.
 */
internal class EntryPeers(
    private val identity: ProcessId,
    private val failureDomain: FailureDomain,
    private val address: NodeAddress,
    private val configuration: ConfigurationKeeper,
    private val loop: EventLoop,
    private val scope: CoroutineScope,
) {
    private val dialed = HashSet<NodeAddress>()
    private val links = HashSet<Link>()
    private var listed: Set<NodeAddress> = emptySet()

    /** All entries that are known, this one included. */
    val known: List<NodeAddress>
        get() = (listed + address).toList()

    /** Takes the entries that the store lists. */
    fun listed(addresses: Set<NodeAddress>) {
        listed = addresses
        know(addresses)
    }

    /** Takes entries that something else than the store names. */
    fun know(addresses: Collection<NodeAddress>) {
        for (other in addresses) {
            if (other != address && dialed.add(other)) scope.launch { keepConnected(other) }
        }
    }

    /** Tells all other entries the version that is in force. */
    fun announce() = links.forEach { it.send(version()) }

    /** Serves a connection that another entry has opened, whose hello has been read. */
    suspend fun accepted(link: Link) {
        link.send(hello())
        converse(link)
    }

    private suspend fun keepConnected(other: NodeAddress) {
        var failures = 0
        while (other in listed || failures < FAILURES_BEFORE_FORGETTING) {
            failures = if (connectOnce(other)) 0 else failures + 1
            delay(if (failures == 0) SHORT_PAUSE_MILLIS else LONG_PAUSE_MILLIS)
        }
        dialed.remove(other)
    }

    private suspend fun connectOnce(other: NodeAddress): Boolean {
        val link = Link.dialOrNull(other, loop, scope, TIMING) ?: return false
        link.send(hello())
        converse(link)
        return true
    }

    private suspend fun converse(link: Link) {
        links += link
        link.send(version())
        try {
            for (message in link.incoming) received(link, message)
        } finally {
            links -= link
            link.close()
        }
    }

    private fun received(
        link: Link,
        message: Message,
    ) {
        when (message) {
            is RunEntryHello -> know(message.entries)
            is ConfigurationVersion -> if (message.version > ownVersion()) requestLater(link, message.version)
            ConfigurationRequest -> sendDocument(link)
            is ConfigurationDocument -> configuration.offer(message.document, "entry")
            else -> logger.debug { "Message that is not for other entries: $message" }
        }
    }

    /** The store usually tells sooner, so that few configurations are sent twice. */
    private fun requestLater(
        link: Link,
        version: Long,
    ) {
        scope.launch {
            if (ownVersion() > 0) delay(STORE_ADVANCE_MILLIS)
            if (version > ownVersion()) link.send(ConfigurationRequest)
        }
    }

    private fun sendDocument(link: Link) {
        val document = configuration.document ?: return
        link.send(ConfigurationDocument(ownVersion(), document))
    }

    private fun hello() = RunEntryHello(identity, failureDomain, known)

    private fun version() = ConfigurationVersion(ownVersion())

    private fun ownVersion(): Long = configuration.current?.version ?: 0

    private companion object {
        val TIMING = LinkTiming(heartbeatMillis = 300, silenceMillis = 1_000, connectMillis = 500)
        const val SHORT_PAUSE_MILLIS = 50L
        const val LONG_PAUSE_MILLIS = 500L

        /** Attempts to reach an entry that the store does not list; half a second apart. */
        const val FAILURES_BEFORE_FORGETTING = 60

        /** Time that the store has to deliver a new configuration before another entry is asked for it. */
        const val STORE_ADVANCE_MILLIS = 200L
    }
}
