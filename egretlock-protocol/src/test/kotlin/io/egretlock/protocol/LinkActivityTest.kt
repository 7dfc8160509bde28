package io.egretlock.protocol

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LinkActivityTest {
    private var nowMillis = 0L
    private val activity = LinkActivity { nowMillis * 1_000_000 }

    @Test
    fun `an end is busy for a second after its last mark`() {
        assertTrue(activity.mark())
        nowMillis += 900
        assertFalse(activity.mark())
        nowMillis += 999
        assertTrue(activity.isOwnBusy)
        nowMillis += 1
        assertFalse(activity.isBusy)
        assertTrue(activity.mark())
    }

    @Test
    fun `a connection is busy while the peer says so, but this end does not report that as its own state`() {
        assertTrue(activity.recordPeer(isBusy = true))
        assertFalse(activity.recordPeer(isBusy = true))
        nowMillis += 60_000
        assertTrue(activity.isBusy)
        assertFalse(activity.isOwnBusy)
        activity.recordPeer(isBusy = false)
        assertFalse(activity.isBusy)
    }
}
