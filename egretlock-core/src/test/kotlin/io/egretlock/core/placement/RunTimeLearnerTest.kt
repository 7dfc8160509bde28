package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RunTimeLearnerTest {
    private val learner = RunTimeLearner()

    @Test
    fun `given no recorded run, when a run time is estimated, then the declared one counts`() {
        assertEquals(70.0, learner.expectedMillis(CHECK, 70))
        assertEquals(500.0, learner.expectedMillis(CHECK, null))
    }

    @Test
    fun `given one recorded run, when a run time is estimated, then the declared one no longer counts`() {
        learner.record(CHECK, agentId("a"), 100)
        assertEquals(100.0, learner.expectedMillis(CHECK, 70), TOLERANCE)
        assertEquals(100.0, learner.expectedMillis(REVIEW, 70), TOLERANCE)
    }

    @Test
    fun `given runs of 5 and of 700 ms, when the tail is estimated, then it is no longer than the longest run`() {
        repeat(20) {
            learner.record(CHECK, agentId("a"), 5)
            learner.record(CHECK, agentId("a"), 700)
        }
        assertEquals(700.0, learner.tailMillis(CHECK), TOLERANCE)
    }

    @Test
    fun `given two agents of different speed, when both have run tasks, then the ratio of their speeds is learned`() {
        repeat(200) {
            learner.record(CHECK, agentId("fast"), 100)
            learner.record(CHECK, agentId("slow"), 400)
        }
        assertEquals(4.0, learner.slowness(agentId("slow")) / learner.slowness(agentId("fast")), 0.1)
    }

    @Test
    fun `given more operations than the limit, when recorded, then those beyond it share one estimate`() {
        repeat(256) { learner.record(OperationName("operation-$it"), agentId("a"), 100) }
        learner.record(CHECK, agentId("a"), 100)
        assertEquals(null, learner.typicalMillis(CHECK))
        assertEquals(100.0, learner.expectedMillis(CHECK, 70), TOLERANCE)
    }

    private companion object {
        const val TOLERANCE = 0.001
    }
}
