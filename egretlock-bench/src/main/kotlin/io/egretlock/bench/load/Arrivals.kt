package io.egretlock.bench.load

import io.egretlock.core.job.TeamName
import java.util.Random
import kotlin.math.ln

/** Generates open-loop arrivals from a Poisson process whose rate may change over time. */
class Arrivals(
    seed: Long,
) {
    private val random = Random(seed)

    /**
     * Draws the jobs of [team] that arrive before [durationMillis]. Work arrives at [loadAt] times [capacity], which is
     * in milliseconds of work per millisecond; [largestLoad] is an upper bound of [loadAt].
     */
    fun draw(
        mix: JobMix,
        team: TeamName,
        capacity: Double,
        durationMillis: Double,
        largestLoad: Double,
        loadAt: (Double) -> Double,
    ): List<WorkloadJob> {
        val largestRate = largestLoad * capacity / mix.meanWorkMillis
        val jobs = ArrayList<WorkloadJob>()
        var time = 0.0
        while (true) {
            time -= ln(1 - random.nextDouble()) / largestRate
            if (time >= durationMillis) return jobs
            if (random.nextDouble() * largestLoad < loadAt(time)) jobs += mix.draw(team, time, random)
        }
    }

    /** Draws jobs at a constant [load], as a factor of [capacity]. */
    fun steady(
        mix: JobMix,
        team: TeamName,
        capacity: Double,
        durationMillis: Double,
        load: Double,
    ): List<WorkloadJob> = draw(mix, team, capacity, durationMillis, load) { load }
}
