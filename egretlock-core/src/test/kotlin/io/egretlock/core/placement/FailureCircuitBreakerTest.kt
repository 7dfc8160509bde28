package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FailureCircuitBreakerTest {
    private val circuitBreaker = FailureCircuitBreaker().apply { listOf("a", "b", "c").forEach { add(agentId(it)) } }

    @Test
    fun `given failures with successes in between, when recorded, then the agent is not suspended`() {
        repeat(5) {
            record("a", false)
            record("a", true)
        }
        assertFalse(circuitBreaker.isSuspended(agentId("a")))
    }

    @Test
    fun `given a suspended agent, when three probes in a row succeed, then it is restored`() {
        repeat(3) { record("a", false) }
        assertTrue(circuitBreaker.isSuspended(agentId("a")))
        assertEquals(emptyList<Any>(), circuitBreaker.probesDue(499))
        repeat(3) {
            assertEquals(listOf(agentId("a")), circuitBreaker.probesDue(500))
            assertEquals(emptyList<Any>(), circuitBreaker.probesDue(500))
            record("a", true, 500)
        }
        assertFalse(circuitBreaker.isSuspended(agentId("a")))
    }

    @Test
    fun `given a suspended agent, when a probe fails, then the next probe is delayed by a longer backoff`() {
        repeat(3) { record("a", false) }
        circuitBreaker.probesDue(500)
        record("a", false, 600)
        assertEquals(emptyList<Any>(), circuitBreaker.probesDue(1_599))
        assertEquals(listOf(agentId("a")), circuitBreaker.probesDue(1_600))
    }

    @Test
    fun `given failures on all agents, when recorded, then at most half of the agents are suspended`() {
        repeat(20) { listOf("a", "b", "c").forEach { record(it, false) } }
        assertEquals(1, listOf("a", "b", "c").count { circuitBreaker.isSuspended(agentId(it)) })
    }

    private fun record(
        agent: String,
        succeeded: Boolean,
        nowMillis: Long = 0,
    ) = circuitBreaker.record(agentId(agent), CHECK, succeeded, nowMillis)
}
