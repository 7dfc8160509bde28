package io.egretlock.core.run

import io.egretlock.core.run.RunFixtures.agent
import io.egretlock.core.run.RunFixtures.ownDomain
import io.egretlock.core.run.RunFixtures.report
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test
import kotlin.random.Random

class AgentChoiceTest {
    private val choice = SlowestSufficientAgent(Random(1))
    private val slow = room("slow", speed = 0.55)
    private val fast = room("fast", speed = 1.2)

    private fun room(
        name: String,
        speed: Double = 1.0,
        cores: Int = 10,
        free: Int = 10,
        isPreferred: Boolean = false,
    ) = AgentRoom(agent(name), ownDomain, report(cores, free, speed, isPreferred = isPreferred))

    private fun demand(
        expectedMillis: Double,
        remainingMillis: Double,
    ) = TaskDemand(RunFixtures.core, expectedMillis, remainingMillis)

    @Test
    fun `a short task goes to a slow upstream that is fast enough`() {
        assertEquals(slow, choice.choose(demand(60.0, 156.0), listOf(fast, slow), fastestSpeed = 1.2))
    }

    @Test
    fun `a long task goes to a fast upstream`() {
        assertEquals(fast, choice.choose(demand(1_000.0, 1_650.0), listOf(fast, slow), fastestSpeed = 1.2))
    }

    @Test
    fun `a task waits while a busy upstream can still meet the objective`() {
        assertNull(choice.choose(demand(1_000.0, 1_650.0), listOf(slow), fastestSpeed = 1.2))
    }

    @Test
    fun `a late task goes to the fastest upstream with room`() {
        assertEquals(fast, choice.choose(demand(1_000.0, 500.0), listOf(slow, fast), fastestSpeed = 1.2))
    }

    @Test
    fun `upstreams that prefer the entry are chosen first, even if they are faster than needed`() {
        val own = room("own", speed = 1.2, free = 1, isPreferred = true)
        assertEquals(own, choice.choose(demand(60.0, 156.0), listOf(slow, own, fast), fastestSpeed = 1.2))
    }

    @Test
    fun `among upstreams that prefer the entry, the slowest sufficient one with most free room is chosen`() {
        val ownFast = room("own-fast", speed = 1.2, isPreferred = true)
        val ownFull = room("own-full", speed = 0.55, free = 2, isPreferred = true)
        val ownFree = room("own-free", speed = 0.55, free = 5, isPreferred = true)
        assertEquals(ownFree, choice.choose(demand(60.0, 156.0), listOf(ownFast, ownFull, ownFree), fastestSpeed = 1.2))
        assertEquals(ownFast, choice.choose(demand(1_000.0, 1_650.0), listOf(ownFree, ownFast), fastestSpeed = 1.2))
    }

    @Test
    fun `among other upstreams, those with spare room are chosen first, then the one with most free room`() {
        val full = room("full", speed = 0.55, free = 1)
        val fuller = room("fuller", speed = 0.55, free = 1, cores = 20)
        val spare = room("spare", speed = 1.2, free = 4)
        assertEquals(spare, choice.choose(demand(60.0, 156.0), listOf(fuller, spare), fastestSpeed = 1.2))
        assertEquals(full, choice.choose(demand(60.0, 156.0), listOf(full, fuller), fastestSpeed = 1.2))
    }

    @Test
    fun `entries that see the same upstreams spread over them in proportion to free room`() {
        val rooms = listOf(room("a", free = 8), room("b", free = 8), room("c", free = 4))
        val chosen =
            List(2_000) { entry ->
                SlowestSufficientAgent(Random(entry)).choose(demand(100.0, 220.0), rooms, fastestSpeed = 1.0)
            }
        val shares = rooms.map { room -> chosen.count { it == room } / 2_000.0 }
        listOf(0.4, 0.4, 0.2).zip(shares).forEach { (expected, share) -> assertEquals(expected, share, 0.05) }
    }

    @Test
    fun `no agent is chosen without candidates`() {
        assertNull(choice.choose(demand(100.0, 220.0), emptyList(), fastestSpeed = 1.0))
    }
}
