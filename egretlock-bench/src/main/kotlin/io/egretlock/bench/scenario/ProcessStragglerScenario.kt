package io.egretlock.bench.scenario

import io.egretlock.bench.load.Arrivals
import io.egretlock.bench.load.JobMix
import io.egretlock.bench.process.OpenLoop
import io.egretlock.bench.process.SentJob
import io.egretlock.bench.report.Bound
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.bench.report.ScenarioResult
import io.egretlock.testing.upstream.UpstreamMode

/** One of the eleven upstreams of real agents runs at a tenth of its speed, compared with a run without it. */
internal class ProcessStragglerScenario : Scenario {
    override val name = "processes-stragglers"

    override fun run(options: ScenarioOptions): ScenarioResult {
        val phaseMillis = ProcessFleet.durationMillis(options) / PHASES
        val capacity = Fleet.capacityOf(Fleet.WORKERS.filter { it.name != WORKER })
        val arrivals = Arrivals(options.seed).steady(JobMix.BOOKING, Fleet.TEAM, capacity, phaseMillis, LOAD)
        val scale = ProcessFleet.scaleFigures()
        return ProcessFleet.start().use { system ->
            ProcessFleet.warmUp(system, options.seed)
            val upstream = ProcessFleet.agent(system, WORKER).upstream
            upstream.changeMode(UpstreamMode.SLOW)
            val with = OpenLoop(system, ProcessFleet.SERVICE, options.seed + 1).run(arrivals)
            upstream.deregister()
            val without = OpenLoop(system, ProcessFleet.SERVICE, options.seed + 2).run(arrivals)
            result(options, phaseMillis, scale, Sample("with the slow worker", with), Sample("without it", without))
        }
    }

    private fun result(
        options: ScenarioOptions,
        phaseMillis: Double,
        scale: List<Figure>,
        with: Sample,
        without: Sample,
    ): ScenarioResult {
        val bounds = listOf(Bound.atMost(with.load, "p99 against a run without", with.p99 / without.p99, limit = 1.5))
        val figures = scale + with.figures() + without.figures()
        return ScenarioResult(name, options.seed, 1, phaseMillis, figures, bounds)
    }

    private class Sample(
        val load: String,
        private val sent: List<SentJob>,
    ) {
        private val millis = Distribution().apply { sent.filter { it.isComplete }.forEach { add(it.responseMillis) } }

        /** 99th percentile of the time from the intended send time to the complete answer, in milliseconds. */
        val p99: Double
            get() = millis.percentile(P99)

        fun figures(): List<Figure> =
            listOf(
                figure("jobs", sent.size.toDouble()),
                figure("jobs refused", sent.count { it.isRefused }.toDouble()),
                figure("jobs lost", sent.count { it.isLost }.toDouble()),
                figure("median of a job in ms", millis.median),
                figure("p99 of a job in ms", p99),
            )

        private fun figure(
            measure: String,
            value: Double,
        ) = Figure(load, "processes", measure, value)
    }

    private companion object {
        const val WORKER = "worker-3"
        const val LOAD = 0.8
        const val PHASES = 2
        const val P99 = 99.0
    }
}
