package io.egretlock.protocol

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LinkSilenceTest {
    private var nowMillis = 0L
    private val silence =
        LinkSilence(LinkTiming(heartbeatMillis = 500, silenceMillis = 2_000)) { nowMillis * 1_000_000 }

    @Test
    fun `a heartbeat that is confirmed only by the next but one puts no connection in doubt`() {
        silence.confirmed(1)
        nowMillis += 1_001
        silence.heard()
        assertFalse(silence.isDoubtful)
    }

    @Test
    fun `an end that is not heard for half of the time is in doubt, and given up after all of it`() {
        nowMillis += 1_001
        silence.confirmed(1)
        assertTrue(silence.isDoubtful)
        assertFalse(silence.isOver)
        nowMillis += 1_000
        assertTrue(silence.isOver)
    }

    @Test
    fun `an end that hears nothing is in doubt before it is given up`() {
        silence.confirmed(3)
        nowMillis += 1_501
        silence.heard()
        silence.confirmed(3)
        assertTrue(silence.isDoubtful)
        assertFalse(silence.isOver)
        nowMillis += 500
        silence.heard()
        assertTrue(silence.isOver)
    }
}
