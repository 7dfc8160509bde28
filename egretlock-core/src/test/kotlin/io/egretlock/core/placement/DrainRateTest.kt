package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DrainRateTest {
    private val rate = DrainRate()

    @Test
    fun `given a backlog that drains at half the nominal rate, when observed, then the factor approaches a half`() {
        observeWindows(count = 40, hasBacklog = true, finishedMillis = 250.0)
        assertEquals(0.5, rate.factor, TOLERANCE)
    }

    @Test
    fun `given a low factor, when there is no longer a backlog, then the factor returns to 1`() {
        val endMillis = observeWindows(count = 40, hasBacklog = true, finishedMillis = 10.0)
        observeWindows(count = 40, hasBacklog = false, finishedMillis = 0.0, startMillis = endMillis)
        assertEquals(1.0, rate.factor, TOLERANCE)
    }

    private fun observeWindows(
        count: Int,
        hasBacklog: Boolean,
        finishedMillis: Double,
        startMillis: Long = 0,
    ): Long {
        repeat(count) { index ->
            rate.observe(startMillis + index * WINDOW_MILLIS, hasBacklog, nominalRate = 1.0)
            rate.recordFinished(finishedMillis)
        }
        return startMillis + count * WINDOW_MILLIS
    }

    private companion object {
        const val WINDOW_MILLIS = 500L
        const val TOLERANCE = 0.01
    }
}
