package io.egretlock.core.run

import io.egretlock.core.run.RunFixtures.job
import io.egretlock.core.run.RunFixtures.queue
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class WaitingOrderTest {
    private fun job(
        id: String,
        objectiveAt: Double,
        hasStarted: Boolean = false,
    ) = ActiveJob(job(id), queue(), arrivedAtMillis = 0, objectiveAt, giveUpAtMillis = 5_000).also {
        it.hasStarted =
            hasStarted
    }

    private fun WaitingOrder.ids(vararg jobs: ActiveJob): List<String> =
        sorted(jobs.toList(), { it.objectiveAtMillis }, nowMillis = 100).map { it.job.id.value }

    @Test
    fun `started jobs come first, then those in time by their latest start, then late ones`() {
        val ids =
            LatestStartOrder().ids(
                job("late", 90.0),
                job("relaxed", 900.0),
                job("urgent", 150.0),
                job("begun", 80.0, hasStarted = true),
            )
        assertEquals(listOf("begun", "urgent", "relaxed", "late"), ids)
    }

    @Test
    fun `the baseline sorts by arrival`() {
        assertEquals(listOf("b", "a"), ArrivalOrder().ids(job("b", 900.0), job("a", 150.0)))
    }
}
