package io.egretlock.entry.run

import io.egretlock.core.run.OwnershipTiming
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StandstillDetectorTest {
    private var nowMillis = 1_000L
    private var wallMillis = 5_000_000L
    private val detector = StandstillDetector({ nowMillis }, { wallMillis })

    private fun pass(
        millis: Long,
        suspendedMillis: Long = 0,
    ): Boolean {
        nowMillis += millis
        wallMillis += millis + suspendedMillis
        return detector.check()
    }

    @Test
    fun `regular calls are no standstill`() {
        repeat(100) { assertFalse(pass(StandstillDetector.INTERVAL_MILLIS)) }
    }

    @Test
    fun `a pause of the process is noticed once`() {
        assertTrue(pass(OwnershipTiming.UNNOTICED_PAUSE_MILLIS + 1))
        assertFalse(pass(1))
    }

    @Test
    fun `a suspension is noticed although the monotonic clock stood still`() {
        assertTrue(pass(10, suspendedMillis = 4_000))
        assertFalse(pass(10))
    }

    @Test
    fun `short suspensions add up`() {
        assertFalse(pass(10, suspendedMillis = OwnershipTiming.UNNOTICED_SUSPENSION_MILLIS / 2))
        assertTrue(pass(10, suspendedMillis = OwnershipTiming.UNNOTICED_SUSPENSION_MILLIS / 2 + 1))
    }
}
