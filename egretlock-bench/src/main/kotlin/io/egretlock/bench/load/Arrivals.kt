package io.egretlock.bench.load

import io.egretlock.core.job.TeamName
import java.util.Random
import kotlin.math.ln

/** Draws open-loop arrivals: a Poisson process whose rate may change over time. */
class Arrivals(
    seed: Long,
) {
    private val random = Random(seed)

    /**
     * Jobs of [team] until [durationMillis], with work arriving at [loadAt] times [capacity], both in milliseconds of
     * work per millisecond; [largestLoad] bounds [loadAt].
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

    /** Jobs at a constant [load]. */
    fun steady(
        mix: JobMix,
        team: TeamName,
        capacity: Double,
        durationMillis: Double,
        load: Double,
    ): List<WorkloadJob> = draw(mix, team, capacity, durationMillis, load) { load }
}
