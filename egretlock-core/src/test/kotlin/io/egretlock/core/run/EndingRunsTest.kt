package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.run.RunFixtures.agent
import io.egretlock.core.run.RunFixtures.job
import io.egretlock.core.run.RunFixtures.queue
import io.egretlock.core.run.RunFixtures.run
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EndingRunsTest {
    private val ending = EndingRuns()
    private val active = ActiveJob(job("a", tasks = 2), queue(), 0, 100.0, 1_000)

    private fun startAll() = active.tasks.forEach { it.recordOrder(agent("u"), sequence = 1, nowMillis = 0) }

    @Test
    fun `a job without runs is over at once`() {
        ending.add(active, 0)
        assertFalse(JobId("a") in ending)
    }

    @Test
    fun `a job is over when the end of each of its runs was reported`() {
        startAll()
        ending.add(active, 0)
        ending.onRunEnded(run("a", 0))
        assertTrue(ending.removeEnded(10).isEmpty())
        assertTrue(ending.hasActiveRuns(JobId("a")))
        ending.onRunEnded(run("a", 1))
        assertEquals(listOf(JobId("a")), ending.removeEnded(10))
        assertFalse(JobId("a") in ending)
    }

    @Test
    fun `runs of a lost agent are over after a time`() {
        startAll()
        ending.add(active, 0)
        ending.onAgentLost(agent("u"), endedAtMillis = 500)
        assertFalse(ending.hasActiveRuns(JobId("a")))
        assertTrue(ending.removeEnded(499).isEmpty())
        assertEquals(listOf(JobId("a")), ending.removeEnded(500))
    }
}
