package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.bench.simulation.JobEnd
import io.egretlock.bench.simulation.SimulatedJob
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings

/** Four teams that submit within their quotas, with and without one team that submits ten times its quota. */
internal class FairnessScenario : Scenario {
    override val name = "fairness"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val withinQuota = Sample("all within quota", Variant.CREDITS)
        val greedy = VARIANTS.map { variant -> Sample("one at ten times its quota", variant) }
        for (seed in options.seeds) {
            withinQuota.add(trial(options, seed, greedyFactor = 1.0).run(withinQuota.variant))
            greedy.forEach { it.add(trial(options, seed, GREEDY_FACTOR).run(it.variant)) }
        }
        val credits = greedy.first { it.variant === Variant.CREDITS }
        val loss = 1 - credits.othersWork / withinQuota.othersWork
        val bounds = listOf(Bound.atMost("four teams", "work that the others lose", loss, limit = 0.05))
        val figures = (listOf(withinQuota) + greedy).flatMap { it.figures() }
        return ScenarioResult(name, options.seed, options.repeats, options.durationMillis, figures, bounds)
    }

    private fun trial(
        options: ScenarioOptions,
        seed: Long,
        greedyFactor: Double,
    ): Trial {
        val jobs = TEAMS.flatMapIndexed { index, team -> arrivals(options, seed, index, team, greedyFactor) }
        val limits = ServiceSettings(Variant.SERVICE, concurrency = QUOTA)
        return Trial(jobs, seed, settings = TEAMS.map { team -> Fleet.settings(team, limits) })
    }

    private fun arrivals(
        options: ScenarioOptions,
        seed: Long,
        index: Int,
        team: TeamName,
        greedyFactor: Double,
    ): List<WorkloadJob> {
        val load = TEAM_LOAD * if (team == GREEDY) greedyFactor else 1.0
        return Arrivals(seed * TEAMS.size + index)
            .steady(JobMix.BOOKING, team, Fleet.CAPACITY, options.durationMillis, load)
    }

    private class Sample(
        val load: String,
        val variant: Variant,
    ) {
        var othersWork = 0.0
            private set
        private var greedyWork = 0.0

        fun add(run: List<SimulatedJob>) {
            for (job in run.filter { it.end == JobEnd.COMPLETE }) {
                if (job.work.team == GREEDY) greedyWork += job.work.workMillis else othersWork += job.work.workMillis
            }
        }

        fun figures(): List<Figure> =
            listOf(
                Figure(load, variant.name, "work answered for the others, in s", othersWork / MILLIS_PER_SECOND),
                Figure(load, variant.name, "work answered for the greedy team, in s", greedyWork / MILLIS_PER_SECOND),
            )
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val QUOTA = 26
        const val TEAM_LOAD = 0.2
        const val GREEDY_FACTOR = 10.0
        val GREEDY = TeamName("greedy")
        val TEAMS = listOf(GREEDY, TeamName("north"), TeamName("south"), TeamName("west"))
        val VARIANTS = listOf(Variant.POWER_OF_TWO, Variant.WITHOUT_FAIRNESS, Variant.CREDITS)
    }
}
