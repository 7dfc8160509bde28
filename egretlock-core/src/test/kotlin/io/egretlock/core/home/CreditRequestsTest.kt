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
    fun `given no demand, when requests are made, then no agent is asked`() {
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.newRequests { 0 })
    }

    @Test
    fun `given a demand, when requests are made, then they cover it and their number depends on it alone`() {
        val asked = requests.newRequests { 260 }
        assertEquals(260, asked.sumOf { it.wanted })
        assertEquals(33, asked.size)
    }

    @Test
    fun `given a covered demand, when requests are made again, then no further agent is asked`() {
        requests.newRequests { 260 }
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.newRequests { 260 })
    }

    @Test
    fun `given a demand of 1, when requests are made, then a few agents are asked, as one may be busy`() {
        assertEquals(List(4) { 1 }, requests.newRequests { 1 }.map { it.wanted })
    }

    @Test
    fun `given asked agents that grant nothing, when a tick passes, then other agents are asked`() {
        val first = requests.newRequests { 1 }.map { it.agent }
        requests.tick { 1 }
        assertEquals(emptySet<ProcessId>(), requests.newRequests { 1 }.map { it.agent }.toSet() intersect first.toSet())
    }

    @Test
    fun `given granted credits, when the demand persists, then credits are requested again`() {
        val asked = requests.newRequests { 8 * 500 }
        asked.forEach { requests.granted(it.agent, it.wanted) }
        assertEquals(500, requests.newRequests { 8 * 500 }.size)
    }

    @Test
    fun `given no more demand, when a tick passes, then each outstanding request is withdrawn once`() {
        requests.newRequests { 1 }
        assertEquals(List(4) { 0 }, requests.tick { 0 }.map { it.wanted })
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.tick { 0 })
    }

    @Test
    fun `given surplus grants, when the demand is gone, then the request to each granting agent is withdrawn once`() {
        val asked = requests.newRequests { 1 }
        asked.forEach { requests.granted(it.agent, it.wanted) }
        assertEquals(
            asked.map { HomeEffect.RequestCredits(it.agent, 0) }.toSet(),
            requests.tick { 0 }.toSet(),
        )
        assertEquals(emptyList<HomeEffect.RequestCredits>(), requests.tick { 0 })
    }

    @Test
    fun `given an asked agent disconnects, when the demand persists, then its share is requested from others`() {
        requests.newRequests { 4 }.forEach { requests.disconnected(it.agent) }
        assertEquals(4, requests.newRequests { 4 }.first().wanted)
    }
}
