package io.egretlock.bench.report

import kotlinx.serialization.Serializable

/** One measured value of a variant under a load. */
@Serializable
data class Figure(
    val load: String,
    val variant: String,
    val measure: String,
    val value: Double,
)

/** A target, its limit, and whether the run met it. */
@Serializable
data class Bound(
    val load: String,
    val target: String,
    val value: Double,
    val limit: Double,
    val met: Boolean,
) {
    companion object {
        /** Target whose [value] must not exceed [limit]. */
        fun atMost(
            load: String,
            target: String,
            value: Double,
            limit: Double,
        ) = Bound(load, target, value, limit, value <= limit)

        /** Target whose [value] must reach [limit]. */
        fun atLeast(
            load: String,
            target: String,
            value: Double,
            limit: Double,
        ) = Bound(load, target, value, limit, value >= limit)
    }
}

/** Result of one scenario run. */
@Serializable
data class ScenarioResult(
    val scenario: String,
    val seed: Long,
    val repeats: Int,
    val durationMillis: Double,
    val figures: List<Figure>,
    val bounds: List<Bound>,
)
