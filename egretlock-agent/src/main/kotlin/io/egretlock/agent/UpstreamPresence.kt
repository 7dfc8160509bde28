package io.egretlock.agent

import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.process.event
import io.egretlock.protocol.UpstreamUpdate
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Availability of the upstream, which determines the slots of [ledger] and the reports to entries. Accessed only by the
 * coroutine of the [Agent].
 *
 * An upstream that refuses connections is first reported without slots, and after [WITHDRAWAL_DELAY_MILLIS] as absent.
 * It is probed meanwhile, and is available again as soon as it accepts connections.
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

    /** Announcement of the upstream; null before the first one and after the upstream has left. */
    var announcement: UpstreamAnnouncement? = null
        private set

    /** Announcement reported to the entries; null if the upstream is reported as absent. */
    var reported: UpstreamAnnouncement? = null
        private set

    /** Whether the upstream accepted the last connection. */
    val reachable: Boolean
        get() = unreachableSinceMillis == null

    /** Handles an announcement, which repeats or replaces the last one. */
    fun onAnnounced(new: UpstreamAnnouncement) {
        if (new == announcement) return
        logger.event(AgentEvent.UPSTREAM_ANNOUNCED, "service" to new.service, "slots" to new.slots)
        announcement = new
        unreachableSinceMillis = null
        client.dropIdleConnections()
        offer(new)
    }

    /** Records that the upstream is leaving: no more tasks are started on it. */
    fun onLeft() {
        if (announcement != null) logger.event(AgentEvent.UPSTREAM_LEAVING)
        announcement = null
        unreachableSinceMillis = null
        withdraw()
    }

    /** Handles a refused connection to [upstream]: withholds its slots and probes it. */
    fun onConnectionRefused(upstream: UpstreamAnnouncement) {
        val present = announcement ?: return
        if (present.address != upstream.address || !reachable) return
        logger.event(AgentEvent.UPSTREAM_UNREACHABLE, "address" to present.address)
        unreachableSinceMillis = nowMillis()
        connections.send(ledger.resize(0))
        probe(present)
    }

    /** Handles the end of a probe; a successful one makes the upstream available again. */
    fun onProbeEnded(ended: ProbeEnded) {
        probing = false
        val present = announcement ?: return
        if (present.address != ended.address || !ended.reachable || reachable) return
        logger.event(AgentEvent.UPSTREAM_REACHABLE, "address" to ended.address)
        unreachableSinceMillis = null
        offer(present)
    }

    /** Probes an unreachable upstream again, and reports it as absent after [WITHDRAWAL_DELAY_MILLIS]. */
    fun onTick() {
        val present = announcement ?: return
        val sinceMillis = unreachableSinceMillis ?: return
        probe(present)
        if (reported == null || nowMillis() - sinceMillis < WITHDRAWAL_DELAY_MILLIS) return
        logger.event(AgentEvent.UPSTREAM_WITHDRAWN, "address" to present.address)
        withdraw()
    }

    private fun probe(present: UpstreamAnnouncement) {
        if (probing) return
        probing = true
        client.probe(present) { reachable -> onProbeEnd(ProbeEnded(present.address, reachable)) }
    }

    private fun offer(present: UpstreamAnnouncement) {
        if (reported != present) connections.sendAll(UpstreamUpdate(present))
        reported = present
        connections.send(ledger.resize(present.usableSlots))
    }

    private fun withdraw() {
        if (reported != null) connections.sendAll(UpstreamUpdate(null))
        reported = null
        ledger.withdraw()
    }

    private companion object {
        const val WITHDRAWAL_DELAY_MILLIS = 3_000L
    }
}

/** Number of slots that may be used, so that one connection stays free for stopping tasks. */
internal val UpstreamAnnouncement.usableSlots: Int
    get() = minOf(slots, (connections - 1).coerceAtLeast(1))
