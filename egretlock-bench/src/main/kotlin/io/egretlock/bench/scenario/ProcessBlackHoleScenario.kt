package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.process.OpenLoop
import io.egretlock.bench.process.SentJob
import io.egretlock.bench.process.TimedAction
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.testing.system.AgentNode
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.upstream.UpstreamMode

/** One of the eleven upstreams of real agents fails every task immediately from a seventh to the middle of the run. */
internal class ProcessBlackHoleScenario : Scenario {
    override val name = "processes-black-hole"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val duration = ProcessFleet.durationMillis(options)
        val scale = ProcessFleet.scaleFigures()
        return ProcessFleet.start().use { system ->
            ProcessFleet.warmUp(system, options.seed)
            val sample = measure(system, options.seed, duration)
            val figures = scale + sample.figures()
            ScenarioResult(name, options.seed, 1, duration, figures, sample.bounds())
        }
    }

    private fun measure(
        system: TestSystem,
        seed: Long,
        duration: Double,
    ): Sample {
        val agent = ProcessFleet.agent(system, WORKER)
        val faultMillis = duration / PARTS
        val repairMillis = duration / 2
        val actions =
            listOf(
                TimedAction(faultMillis) { agent.upstream.changeMode(UpstreamMode.FAIL) },
                TimedAction(repairMillis) { agent.upstream.changeMode(UpstreamMode.NORMAL) },
            )
        val arrivals = Arrivals(seed).steady(JobMix.BOOKING, Fleet.TEAM, Fleet.CAPACITY, duration, LOAD)
        val runStartMillis = System.currentTimeMillis()
        val sent = OpenLoop(system, ProcessFleet.SERVICE, seed + 1).run(arrivals, actions)
        val startsBefore = startsWithin(agent, runStartMillis, 0.0, faultMillis)
        val startsAfter = startsWithin(agent, runStartMillis, duration - faultMillis, duration)
        return Sample(sent, faultMillis, repairMillis, startsAfter.toDouble() / startsBefore)
    }

    private fun startsWithin(
        agent: AgentNode,
        runStartMillis: Long,
        fromMillis: Double,
        toMillis: Double,
    ): Int = agent.upstream.starts.count { (it.startedAtMillis - runStartMillis).toDouble() in fromMillis..toMillis }

    private class Sample(
        sent: List<SentJob>,
        faultMillis: Double,
        repairMillis: Double,
        private val useAfterRepair: Double,
    ) {
        private val duringReaction = sent.filter { it.work.arrivalMillis in faultMillis..faultMillis + REACTION_MILLIS }
        private val afterReaction = sent.filter { it.work.arrivalMillis in faultMillis + REACTION_MILLIS..repairMillis }
        private val lostShare = afterReaction.count { it.isLost }.toDouble() / afterReaction.size

        fun bounds(): List<Bound> =
            listOf(
                Bound.atMost(LOAD_NAME, "jobs lost after 2 s", lostShare, limit = 0.01),
                Bound.atLeast(LOAD_NAME, USE_AFTER_REPAIR, useAfterRepair, limit = 0.5),
            )

        fun figures(): List<Figure> =
            listOf(
                figure("jobs lost in the first 2 s", duringReaction.count { it.isLost }.toDouble()),
                figure("jobs after 2 s", afterReaction.size.toDouble()),
                figure("jobs refused after 2 s", afterReaction.count { it.isRefused }.toDouble()),
                figure("jobs lost after 2 s", lostShare),
                figure(USE_AFTER_REPAIR, useAfterRepair),
            ) + lostByReason()

        private fun lostByReason(): List<Figure> {
            val reasons = afterReaction.filter { it.isLost }.groupingBy { it.reason }.eachCount()
            return reasons.map { (reason, count) -> figure("jobs lost after 2 s for $reason", count.toDouble()) }
        }

        private fun figure(
            measure: String,
            value: Double,
        ) = Figure(LOAD_NAME, "processes", measure, value)
    }

    private companion object {
        const val WORKER = "worker-3"
        const val LOAD = 0.7
        const val LOAD_NAME = "load 0.7"
        const val USE_AFTER_REPAIR = "use at the end, of use before the fault"
        const val PARTS = 7
        const val REACTION_MILLIS = 2_000.0
    }
}
