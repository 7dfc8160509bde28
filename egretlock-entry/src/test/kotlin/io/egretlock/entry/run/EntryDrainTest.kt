package io.egretlock.entry.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EntryDrainTest {
    private var now = 1_000L
    private val drain = EntryDrain { now }

    @Test
    fun `requests are taken until the balancer has noticed`() {
        drain.begin(graceMillis = 6_000)
        now += 2_900
        assertTrue(drain.takesRequests())
        now += 200
        assertFalse(drain.takesRequests())
    }

    @Test
    fun `the process ends only when it is quiet and the balancer has noticed`() {
        drain.begin(graceMillis = 6_000)
        assertFalse(drain.mayEnd(held = 0))
        now += 2_600
        assertFalse(drain.mayEnd(held = 1))
        drain.takesRequests()
        assertFalse(drain.mayEnd(held = 0))
        now += 500
        assertTrue(drain.mayEnd(held = 0))
    }

    @Test
    fun `jobs are given up before the platform ends the process by force`() {
        assertEquals(9_000L, drain.bounded(9_000))
        drain.begin(graceMillis = 6_000)
        val patience = checkNotNull(drain.bounded(9_000))
        now += patience
        assertFalse(drain.mayEnd(held = 1))
        now += 6_000 - patience
        assertTrue(drain.mayEnd(held = 1))
    }
}
