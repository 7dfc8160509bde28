package io.egretlock.bench.scenario

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ScenarioTest {
    private val options = ScenarioOptions(seed = 7, repeats = 1, durationMillis = 20_000.0)

    @Test
    fun `given one seed, when run twice, then the results are equal`() =
        assertEquals(SteadyScenario().run(options), SteadyScenario().run(options))

    @Test
    fun `given a failing worker, when a circuit breaker is used, then fewer jobs are lost than without`() {
        val figures = BlackHoleScenario().run(options).figures.filter { it.measure == "jobs lost after 2 s" }
        val lost = figures.associate { it.variant to it.value }
        assertTrue(lost.getValue("slot credits") < lost.getValue("credits without guard"), "seed 7: $lost")
    }
}
