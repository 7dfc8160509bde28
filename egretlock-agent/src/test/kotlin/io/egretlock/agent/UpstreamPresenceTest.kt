package io.egretlock.agent

import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.UpstreamAnnouncement
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class UpstreamPresenceTest {
    private val client = FakeUpstreamClient()
    private val ledger = SlotLedger()
    private val entry = ProcessId("entry-1", 1)
    private val announcement = UpstreamAnnouncement(ServiceName("net-check"), 8, 64, "http://127.0.0.1:1")
    private var now = 0L
    private val presence: UpstreamPresence =
        UpstreamPresence(client, ledger, EntryConnections(), ::settleProbe) { now }

    init {
        ledger.addEntry(entry)
        presence.onAnnounced(announcement)
    }

    @Test
    fun `given an upstream, when it refuses a connection, then its slots are withheld until a probe succeeds`() {
        presence.onConnectionRefused(announcement)
        assertEquals(0, ledger.slots)
        assertFalse(presence.reachable)
        assertEquals(announcement, presence.reported)
        client.probes.removeFirst()(true)
        assertEquals(8, ledger.slots)
        assertTrue(presence.reachable)
    }

    @Test
    fun `given an upstream that stays unreachable, when seconds pass, then it is absent until a probe succeeds`() {
        presence.onConnectionRefused(announcement)
        client.probes.removeFirst()(false)
        now = 3_000
        presence.onTick()
        assertNull(presence.reported)
        client.probes.removeFirst()(true)
        assertEquals(announcement, presence.reported)
        assertEquals(8, ledger.grantedTo(entry))
    }

    @Test
    fun `given a leaving upstream, when a late probe succeeds, then it stays absent until it announces itself`() {
        presence.onConnectionRefused(announcement)
        presence.onLeft()
        client.probes.removeFirst()(true)
        assertNull(presence.reported)
        assertEquals(0, ledger.slots)
        presence.onAnnounced(announcement)
        assertEquals(8, ledger.grantedTo(entry))
    }

    @Test
    fun `given as many connections as slots, when announced, then one connection is kept for stopping tasks`() {
        assertEquals(7, announcement.copy(connections = 8).usableSlots)
        assertEquals(1, announcement.copy(slots = 1, connections = 1).usableSlots)
    }

    private fun settleProbe(ended: ProbeEnded) = presence.onProbeEnded(ended)
}
