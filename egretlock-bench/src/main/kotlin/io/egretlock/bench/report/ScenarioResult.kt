package io.egretlock.bench.report

import kotlinx.serialization.Serializable

/** One measured value. */
@Serializable
data class Figure(
    val load: String,
    val variant: String,
    val measure: String,
    val value: Double,
)

/** A target and whether the run met it. */
@Serializable
data class Bound(
    val load: String,
    val target: String,
    val value: Double,
    val limit: Double,
    val met: Boolean,
) {
    companion object {
        /** A value that must not exceed [limit]. */
        fun atMost(
            load: String,
            target: String,
            value: Double,
            limit: Double,
        ) = Bound(load, target, value, limit, value <= limit)

        /** A value that must reach [limit]. */
        fun atLeast(
            load: String,
            target: String,
            value: Double,
            limit: Double,
        ) = Bound(load, target, value, limit, value >= limit)
    }
}

/** Result of one run of the bench. */
@Serializable
data class ScenarioResult(
    val scenario: String,
    val seed: Long,
    val repeats: Int,
    val durationMillis: Double,
    val figures: List<Figure>,
    val bounds: List<Bound>,
)
