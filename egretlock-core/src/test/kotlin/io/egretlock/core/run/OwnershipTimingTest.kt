package io.egretlock.core.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class OwnershipTimingTest {
    @Test
    fun `unconfirmed runs have ended when a caller can repeat its job, also if the request lay unread in a pause`() {
        val timing = OwnershipTiming(repeatMillis = 1_300)
        val unnoticedMillis = OwnershipTiming.UNNOTICED_PAUSE_MILLIS + OwnershipTiming.UNNOTICED_SUSPENSION_MILLIS
        assertTrue(timing.confirmedFromMillis + unnoticedMillis + OwnershipTiming.STOP_MILLIS <= timing.repeatMillis)
        assertTrue(timing.announcedFromMillis < timing.confirmedFromMillis)
    }

    @Test
    fun `if callers repeat at once, every job needs a confirmation`() {
        val timing = OwnershipTiming(repeatMillis = 100)
        assertEquals(0, timing.announcedFromMillis)
        assertEquals(0, timing.confirmedFromMillis)
    }
}
