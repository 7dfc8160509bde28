package io.egretlock.agent

import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.process.event
import io.egretlock.protocol.UpstreamUpdate
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * What is known of the upstream, and the slots and announcements that follow from it. Confined to the [Agent].
 *
 * An upstream that refuses connections keeps its announcement for a while, without slots, and is then reported as
 * absent. It is probed meanwhile, and comes back as soon as it accepts connections.
 */
internal class UpstreamPresence(
    private val client: UpstreamClient,
    private val ledger: SlotLedger,
    private val connections: EntryConnections,
    private val onProbeEnd: (ProbeEnded) -> Unit,
    private val nowMillis: () -> Long,
) {
    private var unreachableSinceMillis: Long? = null
    private var probing = false

    /** What the upstream announced; null if it has not, or has left. */
    var announcement: UpstreamAnnouncement? = null
        private set

    /** What entries are told. */
    var told: UpstreamAnnouncement? = null
        private set

    /** Whether the upstream accepted the last connection. */
    val reachable: Boolean
        get() = unreachableSinceMillis == null

    /** Takes an announcement, which repeats or replaces the last one. */
    fun announced(new: UpstreamAnnouncement) {
        if (new == announcement) return
        logger.event(AgentEvent.UPSTREAM_ANNOUNCED, "service" to new.service, "slots" to new.slots)
        announcement = new
        unreachableSinceMillis = null
        client.dropIdleConnections()
        offer(new)
    }

    /** Stops all starts on the upstream. */
    fun left() {
        if (announcement != null) logger.event(AgentEvent.UPSTREAM_LEAVING)
        announcement = null
        unreachableSinceMillis = null
        withdraw()
    }

    /** A connection to [upstream] was refused: withholds its slots and probes it. */
    fun refused(upstream: UpstreamAnnouncement) {
        val present = announcement ?: return
        if (present.address != upstream.address || !reachable) return
        logger.event(AgentEvent.UPSTREAM_UNREACHABLE, "address" to present.address)
        unreachableSinceMillis = nowMillis()
        connections.send(ledger.resize(0))
        probe(present)
    }

    /** Settles a probe. */
    fun probeEnded(ended: ProbeEnded) {
        probing = false
        val present = announcement ?: return
        if (present.address != ended.address || !ended.reachable || reachable) return
        logger.event(AgentEvent.UPSTREAM_REACHABLE, "address" to ended.address)
        unreachableSinceMillis = null
        offer(present)
    }

    /** Probes an unreachable upstream again, and reports it as absent after [ABSENCE_MILLIS]. */
    fun passTime() {
        val present = announcement ?: return
        val sinceMillis = unreachableSinceMillis ?: return
        probe(present)
        if (told == null || nowMillis() - sinceMillis < ABSENCE_MILLIS) return
        logger.event(AgentEvent.UPSTREAM_WITHDRAWN, "address" to present.address)
        withdraw()
    }

    private fun probe(present: UpstreamAnnouncement) {
        if (probing) return
        probing = true
        client.probe(present) { reachable -> onProbeEnd(ProbeEnded(present.address, reachable)) }
    }

    private fun offer(present: UpstreamAnnouncement) {
        if (told != present) connections.sendAll(UpstreamUpdate(present))
        told = present
        connections.send(ledger.resize(present.usableSlots))
    }

    private fun withdraw() {
        if (told != null) connections.sendAll(UpstreamUpdate(null))
        told = null
        ledger.withdraw()
    }

    private companion object {
        const val ABSENCE_MILLIS = 3_000L
    }
}

/** Slots that may be used while one connection stays free for stopping tasks. */
internal val UpstreamAnnouncement.usableSlots: Int
    get() = minOf(slots, (connections - 1).coerceAtLeast(1))
