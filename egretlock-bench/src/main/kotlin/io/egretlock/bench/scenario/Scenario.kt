package io.egretlock.bench.scenario

import io.egretlock.bench.report.ScenarioResult

/**
 * How a scenario runs.
 *
 * @property repeats runs with successive seeds whose values are pooled.
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

/** One shape of load with the variants that it compares and the targets that it checks. */
interface Scenario {
    val name: String

    /** Runs all variants on the same arrivals, interleaved. */
    fun run(options: ScenarioOptions): ScenarioResult
}
