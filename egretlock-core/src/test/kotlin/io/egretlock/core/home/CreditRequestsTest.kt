package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class CreditRequestsTest {
    private val service = ServiceName("net-check")
    private val agents = (1..500).map { ProcessId("agent-$it", 1) }
    private val requests = CreditRequests().apply { agents.forEach { connected(it, service, slots = 8) } }

    @Test
    fun `given no need, when asked, then nobody is asked`() {
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.requests { 0 })
    }

    @Test
    fun `given a need, when asked, then the requests cover it and depend on it alone`() {
        val asked = requests.requests { 260 }
        assertEquals(260, asked.sumOf { it.wanted })
        assertEquals(33, asked.size)
    }

    @Test
    fun `given a covered need, when asked again, then nobody else is asked`() {
        requests.requests { 260 }
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.requests { 260 })
    }

    @Test
    fun `given a need of 1, when asked, then a few agents are asked, as one may be busy`() {
        assertEquals(List(4) { 1 }, requests.requests { 1 }.map { it.wanted })
    }

    @Test
    fun `given asked agents grant nothing, when a tick passes, then others are asked`() {
        val first = requests.requests { 1 }.map { it.agent }
        requests.tick { 1 }
        assertEquals(emptySet<ProcessId>(), requests.requests { 1 }.map { it.agent }.toSet() intersect first.toSet())
    }

    @Test
    fun `given granted credits, when the need stands, then it is asked for again`() {
        val asked = requests.requests { 8 * 500 }
        asked.forEach { requests.granted(it.agent, it.wanted) }
        assertEquals(500, requests.requests { 8 * 500 }.size)
    }

    @Test
    fun `given the need is gone, when a tick passes, then each open request is withdrawn once`() {
        requests.requests { 1 }
        assertEquals(List(4) { 0 }, requests.tick { 0 }.map { it.wanted })
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.tick { 0 })
    }

    @Test
    fun `given more granted than was needed, when the need is gone, then each agent that granted is told once`() {
        val asked = requests.requests { 1 }
        asked.forEach { requests.granted(it.agent, it.wanted) }
        assertEquals(
            asked.map { HomeEffect.RequestCredits(it.agent, 0) }.toSet(),
            requests.tick { 0 }.toSet(),
        )
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.tick { 0 })
    }

    @Test
    fun `given an asked agent disconnects, when the need stands, then its part is asked of others`() {
        requests.requests { 4 }.forEach { requests.disconnected(it.agent) }
        assertEquals(4, requests.requests { 4 }.first().wanted)
    }
}
