package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.process.OpenLoop
import io.egretlock.bench.process.SentJob
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.core.job.TeamName
import io.egretlock.testing.system.TestSystem

/** Four teams that submit to real processes within their quotas, and then with one team at ten times its quota. */
internal class ProcessFairnessScenario : Scenario {
    override val name = "processes-fairness"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val phaseMillis = ProcessFleet.durationMillis(options) / PHASES
        val scale = ProcessFleet.scaleFigures()
        return ProcessFleet.start(TEAMS, QUOTA).use { system ->
            ProcessFleet.warmUp(system, options.seed, TEAMS.last())
            val withinQuota = Sample("all within quota", phase(system, options.seed, phaseMillis, greedyFactor = 1.0))
            val greedy = Sample("one at ten times its quota", phase(system, options.seed, phaseMillis, GREEDY_FACTOR))
            val loss = 1 - greedy.othersWork / withinQuota.othersWork
            val bounds =
                listOf(
                    Bound.atMost("four teams", "work that the others lose", loss, limit = 0.05),
                    Bound.atMost("four teams", "work that the others ask for in vain", greedy.unanswered, limit = 0.05),
                )
            val figures = scale + withinQuota.figures() + greedy.figures()
            ScenarioResult(name, options.seed, 1, phaseMillis, figures, bounds)
        }
    }

    private fun phase(
        system: TestSystem,
        seed: Long,
        phaseMillis: Double,
        greedyFactor: Double,
    ): List<SentJob> {
        val jobs = TEAMS.flatMapIndexed { index, team -> arrivals(seed, index, team, phaseMillis, greedyFactor) }
        return OpenLoop(system, ProcessFleet.SERVICE, seed + greedyFactor.toLong())
            .run(jobs.sortedBy { it.arrivalMillis })
    }

    private fun arrivals(
        seed: Long,
        index: Int,
        team: TeamName,
        phaseMillis: Double,
        greedyFactor: Double,
    ): List<WorkloadJob> {
        val load = TEAM_LOAD * if (team == GREEDY) greedyFactor else 1.0
        return Arrivals(seed * TEAMS.size + index).steady(JobMix.BOOKING, team, Fleet.CAPACITY, phaseMillis, load)
    }

    private class Sample(
        private val load: String,
        sent: List<SentJob>,
    ) {
        private val greedy = sent.filter { it.work.team == GREEDY }
        private val others = sent.filter { it.work.team != GREEDY }

        /** Work of the completely answered jobs of the teams within their quotas, in milliseconds at speed 1. */
        val othersWork: Double
            get() = answeredWork(others)

        /** Share of the submitted work of the other teams that is not answered; independent of any other run. */
        val unanswered: Double
            get() = 1 - othersWork / others.sumOf { it.work.workMillis }

        fun figures(): List<Figure> =
            listOf(
                figure("jobs of the others", others.size.toDouble()),
                figure("jobs of the others refused", others.count { it.isRefused }.toDouble()),
                figure("jobs of the others lost", others.count { it.isLost }.toDouble()),
                figure("jobs of the greedy team refused", greedy.count { it.isRefused }.toDouble()),
                figure("work answered for the others, in s", othersWork / MILLIS_PER_SECOND),
                figure("work answered for the greedy team, in s", answeredWork(greedy) / MILLIS_PER_SECOND),
            )

        private fun answeredWork(jobs: List<SentJob>) = jobs.filter { it.isComplete }.sumOf { it.work.workMillis }

        private fun figure(
            measure: String,
            value: Double,
        ) = Figure(load, "processes", measure, value)
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val PHASES = 2
        const val QUOTA = 26
        const val TEAM_LOAD = 0.2
        const val GREEDY_FACTOR = 10.0
        val GREEDY = TeamName("greedy")
        val TEAMS = listOf(GREEDY, TeamName("north"), TeamName("south"), TeamName("west"))
    }
}
