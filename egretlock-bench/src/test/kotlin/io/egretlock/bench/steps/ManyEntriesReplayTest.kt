package io.egretlock.bench.steps

import io.egretlock.core.run.StepJobPolicies
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Simulates the demand of the booking service on a larger fleet: eleven entries that share 62 upstreams. */
class ManyEntriesReplayTest {
    @Test
    fun `on a calm day under a hundredth of the starts finds no room`() {
        val simulation = simulation()
        simulation.run(jobs(perSecond = CALM_PER_SECOND, burst = 1.0))
        val refused = simulation.refusedStarts.toDouble() / simulation.orderedStarts
        assertTrue(refused < REFUSED_SHARE, "${simulation.refusedStarts} of ${simulation.orderedStarts}")
    }

    @Test
    fun `on a calm day jobs are in time once the upstreams' speeds are known`() {
        val settled =
            simulation()
                .run(jobs(perSecond = CALM_PER_SECOND, burst = 1.0))
                .filter { it.job.arrivalMillis > LEARNING_MILLIS }
        val share = settled.sumOf { it.earned } / settled.sumOf { it.job.worth }
        assertTrue(share >= CALM_SHARE, "$share")
    }

    private fun simulation() =
        StepSimulation({ StepJobPolicies.default(it) }, StepSimulation.fleet(UPSTREAMS), entries = ENTRIES)

    private fun jobs(
        perSecond: Double,
        burst: Double,
    ) = CrestLoad(seed = 1, perSecond, burst, ENTRIES).jobs(DURATION_MILLIS)

    private companion object {
        const val ENTRIES = 11
        const val UPSTREAMS = 62
        const val DURATION_MILLIS = 8_000.0
        const val LEARNING_MILLIS = 3_000.0

        /** Mean demand of slightly more than half of the room, as in the larger deployment (eleven entries). */
        const val CALM_PER_SECOND = 420.0

        /** Targets that the issues set: less than 1 % refused starts, and 0.90 of the worth earned. */
        const val REFUSED_SHARE = 0.01
        const val CALM_SHARE = 0.9
    }
}
