package io.egretlock.entry.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EntryDrainTest {
    private var now = 1_000L
    private val drain = EntryDrain { now }

    @Test
    fun `requests are accepted until the load balancer has noticed the drain`() {
        drain.begin(graceMillis = 6_000)
        now += 2_900
        assertTrue(drain.tryAcceptRequest())
        now += 200
        assertFalse(drain.tryAcceptRequest())
    }

    @Test
    fun `the process exits only when it is idle and the load balancer has noticed the drain`() {
        drain.begin(graceMillis = 6_000)
        assertFalse(drain.canExit(unansweredJobs = 0))
        now += 2_600
        assertFalse(drain.canExit(unansweredJobs = 1))
        drain.tryAcceptRequest()
        assertFalse(drain.canExit(unansweredJobs = 0))
        now += 500
        assertTrue(drain.canExit(unansweredJobs = 0))
    }

    @Test
    fun `jobs are given up before the platform kills the process`() {
        assertEquals(9_000L, drain.limitPatience(9_000))
        drain.begin(graceMillis = 6_000)
        val patience = checkNotNull(drain.limitPatience(9_000))
        now += patience
        assertFalse(drain.canExit(unansweredJobs = 1))
        now += 6_000 - patience
        assertTrue(drain.canExit(unansweredJobs = 1))
    }
}
