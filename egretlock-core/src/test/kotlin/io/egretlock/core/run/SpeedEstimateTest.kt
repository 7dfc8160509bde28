package io.egretlock.core.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.Random
import kotlin.math.exp

class SpeedEstimateTest {
    private val random = Random(7)

    /** Records [runs] with estimates that are off by 40 %; one run in 33 takes seven times as long. */
    private fun SpeedEstimate.observe(
        speed: Double,
        runs: Int,
    ) = repeat(runs) {
        val factor = if (random.nextInt(33) == 0) 7.0 else 1.0
        record(100.0 * exp(0.4 * random.nextGaussian()), 100.0 * factor * exp(0.4 * random.nextGaussian()) / speed)
    }

    @Test
    fun `the speed of a slow upstream is estimated after forty runs`() {
        val estimate = SpeedEstimate()
        estimate.observe(speed = 0.55, runs = 40)
        assertEquals(0.55, estimate.speed, 0.2)
    }

    @Test
    fun `the estimate follows an upstream that slows down and recovers within forty runs`() {
        val estimate = SpeedEstimate()
        estimate.observe(speed = 1.2, runs = 100)
        estimate.observe(speed = 1.2 / 6.5, runs = 40)
        assertTrue(estimate.speed < 0.4, "${estimate.speed}")
        estimate.observe(speed = 1.2, runs = 40)
        assertTrue(estimate.speed > 0.75, "${estimate.speed}")
    }

    @Test
    fun `a single run changes the estimate little`() {
        val estimate = SpeedEstimate()
        repeat(100) { estimate.record(100.0, 100.0) }
        estimate.record(100.0, 10_000.0)
        assertEquals(1.0, estimate.speed, 0.1)
    }
}
