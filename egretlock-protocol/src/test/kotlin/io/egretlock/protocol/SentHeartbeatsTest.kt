package io.egretlock.protocol

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SentHeartbeatsTest {
    private var nowMillis = 0L
    private val heartbeats = SentHeartbeats { nowMillis * 1_000_000 }

    @Test
    fun `heartbeats are numbered from one, and each has its own time`() {
        nowMillis = 100
        assertEquals(1, heartbeats.next())
        nowMillis = 250
        assertEquals(2, heartbeats.next())
        nowMillis = 300
        assertEquals(200, heartbeats.millisSince(1))
        assertEquals(50, heartbeats.millisSince(2))
    }

    @Test
    fun `the age of a heartbeat that was not sent or is not kept counts from the start of the connection`() {
        repeat(100) {
            nowMillis += 10
            heartbeats.next()
        }
        assertEquals(listOf(1_000L, 1_000L, 1_000L), listOf(0L, 1L, 101L).map(heartbeats::millisSince))
        assertEquals(listOf(310L, 0L), listOf(69L, 100L).map(heartbeats::millisSince))
    }
}
