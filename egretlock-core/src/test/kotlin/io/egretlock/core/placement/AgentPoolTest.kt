package io.egretlock.core.placement

import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class AgentPoolTest {
    private val runTimes = RunTimeLearner()
    private var pool = AgentPool(runTimes)

    @Test
    fun `given agents of different speed, when chosen, then the fastest one with a credit comes first`() {
        learnSpeeds("fast" to 100L, "middle" to 250L)
        withAgent("middle", credits = 1)
        withAgent("fast", credits = 1)
        assertEquals(listOf("fast", "middle", null), List(3) { startNext() })
    }

    @Test
    fun `given equal agents in two domains, when chosen, then each domain starts in proportion to its slots`() {
        withAgent("a1", credits = 2, domain = "etna-nord")
        withAgent("a2", credits = 2, domain = "etna-nord")
        withAgent("b1", credits = 4, domain = "nebrodi")
        assertEquals(2, List(6) { startNext() }.count { it == "b1" })
    }

    @Test
    fun `given a very slow agent, when it is idle, then it gets one probe per interval`() {
        learnSpeeds("normal" to 100L, "normal" to 100L, "normal" to 100L, "normal" to 100L, "slow" to 1_500L)
        withAgent("normal", credits = 0)
        withAgent("slow", credits = 2)
        assertNull(startNext())
        pool.probeSlowAgents(0)
        val probed = checkNotNull(pool.best(TaskClass.SHORT))
        assertEquals(listOf("slow", null), List(2) { startNext() })
        pool.countEnd(probed, TaskClass.SHORT)
        pool.probeSlowAgents(4_999)
        assertNull(startNext())
    }

    @Test
    fun `given agents below the ratio of a slow agent, when chosen, then all are available`() {
        val slowness = mapOf("fast" to 1.0, "middle" to 3.0, "slower" to 3.5, "slowest" to 4.8)
        val speeds =
            object : RunTimes by DeclaredRunTimes() {
                override fun slowness(agent: ProcessId): Double = slowness.getValue(agent.name)
            }
        pool = AgentPool(speeds)
        slowness.keys.forEach { withAgent(it, credits = 1) }
        assertEquals(slowness.keys, List(4) { startNext() }.toSet())
    }

    @Test
    fun `given a very slow agent, when it is the only one left, then it is available`() {
        learnSpeeds("normal" to 100L, "normal" to 100L, "normal" to 100L, "normal" to 100L, "slow" to 1_500L)
        withAgent("normal", credits = 0)
        withAgent("slow", credits = 2)
        pool.remove(agentId("normal"))
        assertEquals(listOf("slow", "slow", null), List(3) { startNext() })
    }

    @Test
    fun `given an agent that reconnected, when a task from before the loss ends, then it is not counted`() {
        withAgent("a", credits = 1)
        val before = checkNotNull(pool.best(TaskClass.SHORT))
        startNext()
        pool.remove(agentId("a"))
        withAgent("a", credits = 1)
        pool.countEnd(before, TaskClass.SHORT)
        assertEquals(0, pool.best(TaskClass.SHORT)?.running)
    }

    @Test
    fun `given a share for long tasks, when they start, then they take the slowest agents up to the share`() {
        learnSpeeds("fast" to 100L, "middle" to 250L)
        withAgent("fast", credits = 4)
        withAgent("middle", credits = 4)
        pool.setLimits(longShare = 0.25, EntryShare())
        assertEquals(listOf("middle", "middle", null), List(3) { startNext(TaskClass.LONG) })
        assertEquals("fast", startNext())
    }

    private fun learnSpeeds(vararg runs: Pair<String, Long>) =
        repeat(ROUNDS) { runs.forEach { (agent, runMillis) -> runTimes.record(CHECK, agentId(agent), runMillis) } }

    private fun withAgent(
        name: String,
        credits: Int,
        domain: String = "etna-nord",
    ) {
        pool.put(view(name, domain = domain))
        pool.addCredits(agentId(name), credits)
    }

    private fun startNext(taskClass: TaskClass = TaskClass.SHORT): String? =
        pool.best(taskClass)?.let { agent ->
            pool.countStart(agent, taskClass)
            agent.id.name
        }

    private companion object {
        const val ROUNDS = 60
    }
}
