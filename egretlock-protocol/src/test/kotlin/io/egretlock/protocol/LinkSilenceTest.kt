package io.egretlock.protocol

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

class LinkSilenceTest {
    private var nowMillis = 0L
    private val activity = LinkActivity { nowMillis * 1_000_000 }
    private val timing =
        LinkTiming(heartbeatMillis = 500, silenceMillis = 2_000, idleHeartbeatMillis = 1_500, idleSilenceMillis = 5_000)
    private val silence = LinkSilence(timing, activity) { nowMillis * 1_000_000 }

    @BeforeEach
    fun makeBusy() {
        activity.recordPeer(isBusy = true)
    }

    @Test
    fun `an idle connection is timed out after the longer limit`() {
        activity.recordPeer(isBusy = false)
        nowMillis += 5_000
        assertFalse(silence.hasTimedOut)
        nowMillis += 1
        assertTrue(silence.hasTimedOut)
    }

    @Test
    fun `when an idle connection becomes busy, the shorter limit counts from then on`() {
        activity.recordPeer(isBusy = false)
        nowMillis += 4_000
        assertTrue(activity.recordPeer(isBusy = true))
        silence.restart()
        nowMillis += 2_000
        assertFalse(silence.hasTimedOut)
        nowMillis += 1
        assertTrue(silence.hasTimedOut)
    }

    @Test
    fun `given a heartbeat that the peer confirms after two intervals, then the connection is not doubtful`() {
        silence.recordConfirmation(1)
        nowMillis += 1_001
        silence.recordFrame()
        assertFalse(silence.isSuspect)
    }

    @Test
    fun `a peer that sends nothing is doubtful after half of the silence limit and timed out after all of it`() {
        nowMillis += 1_001
        silence.recordConfirmation(1)
        assertTrue(silence.isSuspect)
        assertFalse(silence.hasTimedOut)
        nowMillis += 1_000
        assertTrue(silence.hasTimedOut)
    }

    @Test
    fun `a peer that sends but confirms nothing is doubtful before it is timed out`() {
        silence.recordConfirmation(3)
        nowMillis += 1_501
        silence.recordFrame()
        silence.recordConfirmation(3)
        assertTrue(silence.isSuspect)
        assertFalse(silence.hasTimedOut)
        nowMillis += 500
        silence.recordFrame()
        assertTrue(silence.hasTimedOut)
    }
}
