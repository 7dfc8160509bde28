package io.egretlock.core.run

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/**
 * Learns the speed of one upstream from the run times of its tasks against their estimates, on a logarithmic scale.
 *
 * Answers upstreams of several generations and ones that turn slow for some seconds. Estimates are rough and a few tasks
 * run many times longer than the rest, so a single run moves the estimate only a little; runs that agree with each other
 * and disagree with the estimate move it faster.
 */
class SpeedEstimate {
    private var level = 0.0
    private var samples = 0
    private var drift = 0.0

    /** Estimated speed; 1 is the speed that estimates are made for. */
    val speed: Double
        get() = exp(level)

    /** Takes note of a run of [runMillis] that was expected to take [expectedMillis] at speed 1. */
    fun record(
        expectedMillis: Double,
        runMillis: Double,
    ) {
        val sample = ln(max(expectedMillis, 1.0) / max(runMillis, 1.0))
        val residual = (sample - level).coerceIn(-LARGEST_RESIDUAL, LARGEST_RESIDUAL)
        samples++
        drift += DRIFT_WEIGHT * (residual - drift)
        val weight = max(1.0 / (samples + PRIOR_SAMPLES), if (abs(drift) > DRIFT_LIMIT) FAST_WEIGHT else SLOW_WEIGHT)
        level = (level + weight * residual).coerceIn(LOWEST_LEVEL, HIGHEST_LEVEL)
    }

    private companion object {
        /** Weight, in runs, of the assumption that the speed is 1. */
        const val PRIOR_SAMPLES = 2.0

        /** Largest logarithm that one run counts with; a run seven times too long is near it. */
        const val LARGEST_RESIDUAL = 1.5
        const val SLOW_WEIGHT = 0.04
        const val FAST_WEIGHT = 0.2
        const val DRIFT_WEIGHT = 0.15

        /** Mean logarithmic residual of recent runs that shows a changed speed rather than rough estimates. */
        const val DRIFT_LIMIT = 0.5
        const val LOWEST_LEVEL = -3.5
        const val HIGHEST_LEVEL = 1.5
    }
}
