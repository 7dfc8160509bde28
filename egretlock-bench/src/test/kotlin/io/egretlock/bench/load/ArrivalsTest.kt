package io.egretlock.bench.load

import io.egretlock.core.job.TeamName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ArrivalsTest {
    @Test
    fun `given a load, when drawn for long, then the work that arrives matches it`() {
        val jobs = Arrivals(SEED).steady(JobMix.BOOKING, TeamName("north"), CAPACITY, DURATION_MILLIS, load = 0.8)
        val load = jobs.sumOf { it.workMillis } / (CAPACITY * DURATION_MILLIS)
        assertEquals(0.8, load, 0.02, "seed $SEED")
    }

    private companion object {
        const val SEED = 1L
        const val CAPACITY = 100.0
        const val DURATION_MILLIS = 2_000_000.0
    }
}
