package io.egretlock.bench.scenario

import io.egretlock.bench.report.ScenarioResult

/**
 * Options of a scenario run.
 *
 * @property repeats number of runs with successive seeds, whose values are pooled.
 * @property durationMillis virtual or real time during which jobs arrive.
 */
data class ScenarioOptions(
    val seed: Long,
    val repeats: Int,
    val durationMillis: Double,
) {
    /** Seeds of the repeats. */
    val seeds: List<Long>
        get() = List(repeats) { index -> seed + index }
}

/** A load profile, with the variants to compare and the targets to check. */
interface Scenario {
    val name: String

    /** Runs all variants on the same arrivals, interleaved by seed. */
    fun run(options: ScenarioOptions): ScenarioResult
}
