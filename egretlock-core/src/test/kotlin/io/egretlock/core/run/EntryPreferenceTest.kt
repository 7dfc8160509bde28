package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EntryPreferenceTest {
    private val marka = FailureDomain("marka")
    private val weibdeh = FailureDomain("weibdeh")
    private val entries =
        List(8) { ConnectedEntry(ProcessId("entry-$it", it.toLong()), if (it % 2 == 0) marka else weibdeh) }
    private val agents = List(400) { "agent-$it" }

    private fun preferred(
        agent: String,
        known: List<ConnectedEntry> = entries,
    ) = EntryPreference.preferred(agent, marka, known)

    @Test
    fun `an agent prefers an entry in its failure domain, or any entry if there is none`() {
        val sameDomain = entries.filter { it.failureDomain == marka }.map { it.entry }
        assertTrue(agents.all { preferred(it) in sameDomain })
        val otherDomain = entries - entries.filter { it.failureDomain == marka }.toSet()
        assertTrue(agents.all { preferred(it, otherDomain) in otherDomain.map { entry -> entry.entry } })
    }

    @Test
    fun `no entry is preferred if there are none`() = assertNull(preferred("agent", emptyList()))

    @Test
    fun `each entry is preferred by about the same number of agents`() {
        val counts = agents.groupingBy { preferred(it) }.eachCount()
        assertEquals(4, counts.size)
        assertTrue(counts.values.all { it in 70..130 }, "$counts")
    }

    @Test
    fun `an entry that leaves changes the preference of its own agents only, regardless of the order of entries`() {
        val remaining = entries.drop(1).reversed()
        for (agent in agents) {
            val before = preferred(agent)
            if (before != entries.first().entry) assertEquals(before, preferred(agent, remaining))
        }
    }

    @Test
    fun `a restarted entry is preferred by the same agents`() {
        val restarted = entries.map { it.copy(entry = ProcessId(it.entry.name, it.entry.incarnation + 100)) }
        assertEquals(agents.map { preferred(it)?.name }, agents.map { preferred(it, restarted)?.name })
    }
}
