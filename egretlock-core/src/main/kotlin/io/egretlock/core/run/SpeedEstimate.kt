package io.egretlock.core.run

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max

/**
 * Estimates the speed of one upstream, on a logarithmic scale, from the expected and actual run times of its tasks.
 *
 * Upstreams differ by hardware generation, and some become slow for a few seconds. Expected run times are rough and a
 * few tasks run many times longer than the rest, so a single run changes the estimate only a little; several runs that
 * deviate from it in the same direction change it faster.
 */
class SpeedEstimate {
    private var logSpeed = 0.0
    private var sampleCount = 0
    private var drift = 0.0

    /** Estimated speed; 1 is the speed that run times are estimated for. */
    val speed: Double
        get() = exp(logSpeed)

    /** Records a run of [runMillis] that was expected to take [expectedMillis] at speed 1. */
    fun record(
        expectedMillis: Double,
        runMillis: Double,
    ) {
        val logSample = ln(max(expectedMillis, 1.0) / max(runMillis, 1.0))
        val residual = (logSample - logSpeed).coerceIn(-MAX_RESIDUAL, MAX_RESIDUAL)
        sampleCount++
        drift += DRIFT_WEIGHT * (residual - drift)
        val weight =
            max(1.0 / (sampleCount + PRIOR_SAMPLES), if (abs(drift) > DRIFT_THRESHOLD) FAST_WEIGHT else SLOW_WEIGHT)
        logSpeed = (logSpeed + weight * residual).coerceIn(MIN_LOG_SPEED, MAX_LOG_SPEED)
    }

    private companion object {
        /** Weight of the initial assumption that the speed is 1, as a number of runs. */
        const val PRIOR_SAMPLES = 2.0

        /** Largest logarithmic residual of a single run; a run seven times as long as expected exceeds it. */
        const val MAX_RESIDUAL = 1.5
        const val SLOW_WEIGHT = 0.04
        const val FAST_WEIGHT = 0.2
        const val DRIFT_WEIGHT = 0.15

        /**
         * Mean logarithmic residual of recent runs above which the deviation is attributed to a changed speed rather
         * than to rough estimates.
         */
        const val DRIFT_THRESHOLD = 0.5
        const val MIN_LOG_SPEED = -3.5
        const val MAX_LOG_SPEED = 1.5
    }
}
