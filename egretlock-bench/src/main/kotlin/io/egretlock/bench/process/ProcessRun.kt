package io.egretlock.bench.process

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.bench.report.Distribution
import io.egretlock.bench.report.Figure
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.TestSystem

/** One phase of load on real processes, with its measurements. */
class ProcessRun(
    private val load: String,
    private val system: TestSystem,
    service: String,
    seed: Long,
) {
    private val openLoop = OpenLoop(system, service, seed)
    private val stretch = Distribution()
    private val entries = system.entries.map { it.process }
    private val agents = system.agents.map { it.process }
    private lateinit var sent: List<SentJob>
    private var starts = 0
    private var elapsedMillis = 0.0
    private var entryUse = Use(0, 0, 0)
    private var agentUse = Use(0, 0, 0)

    /** Share of the jobs with a complete answer. */
    val answered: Double
        get() = sent.count { it.isComplete }.toDouble() / sent.size

    /** Median time from the intended send time to the reply, relative to the longest task run of the job. */
    val medianStretch: Double
        get() = stretch.median

    /** Work of the jobs with a complete answer between two times, in milliseconds at speed 1. */
    fun answeredWork(
        fromMillis: Double,
        toMillis: Double,
    ): Double =
        sent
            .filter { it.isComplete && it.endedAtMillis in fromMillis..toMillis }
            .sumOf { it.work.workMillis }

    /** Submits [arrivals] and measures until the last reply arrives. */
    fun run(arrivals: List<WorkloadJob>): ProcessRun {
        val startsBefore = system.starts.size
        val entriesBefore = entries.map { ResourceUse.of(it.pid) }
        val agentsBefore = agents.map { ResourceUse.of(it.pid) }
        val startNanos = System.nanoTime()
        sent = openLoop.run(arrivals)
        elapsedMillis = (System.nanoTime() - startNanos) / NANOS_PER_MILLI
        entryUse = useSince(entries, entriesBefore)
        agentUse = useSince(agents, agentsBefore)
        starts = system.starts.size - startsBefore
        measureStretch()
        return this
    }

    /** Figures of this phase. */
    fun figures(): List<Figure> =
        listOf(
            figure("jobs", sent.size.toDouble()),
            figure("starts per second", starts / elapsedMillis * MILLIS_PER_SECOND),
            figure("jobs answered whole", answered),
            figure("jobs refused as not run", refused().size.toDouble() / sent.size),
            figure("p99 of a refusal in ms", refusalMillis().percentile(P99)),
            figure("jobs that failed or may have run", lost().toDouble() / sent.size),
            figure("median stretch of a job", stretch.median),
            figure("mean stretch of a job", stretch.mean),
            figure("p99 stretch of a job", stretch.percentile(P99)),
            figure("entry processor ms per start", entryUse.processorMillis.toDouble() / starts),
            figure("agent processor ms per start", agentUse.processorMillis.toDouble() / starts),
            figure("entry resident MB, mean", entryUse.residentBytes / BYTES_PER_MEGABYTE / entries.size),
            figure("agent resident MB, mean", agentUse.residentBytes / BYTES_PER_MEGABYTE / agents.size),
            figure("agent bytes read and written per start", agentUse.transferredBytes.toDouble() / starts),
        ) + refusalFigures()

    private fun refusalFigures(): List<Figure> {
        val reasons = refused().groupingBy { (it.reply as JobReply.Refused).problem.reason }.eachCount()
        return reasons.map { (reason, count) -> figure("jobs refused for $reason", count.toDouble()) }
    }

    private fun figure(
        measure: String,
        value: Double,
    ) = Figure(load, "processes", measure, value)

    private fun refused(): List<SentJob> = sent.filter { it.isRefused }

    private fun refusalMillis() = Distribution().apply { refused().forEach { add(it.responseMillis) } }

    private fun lost(): Int = sent.count { it.isLost }

    private fun measureStretch() {
        val meter = StretchMeter(system)
        sent.filter { it.isComplete }.forEach { stretch.add(meter.stretch(it)) }
    }

    private fun useSince(
        processes: List<ManagedProcess>,
        before: List<ResourceUse>,
    ): Use {
        val now = processes.map { ResourceUse.of(it.pid) }
        return Use(
            processorMillis = now.sumOf { it.processorMillis } - before.sumOf { it.processorMillis },
            residentBytes = now.sumOf { it.residentBytes },
            transferredBytes =
                now.sumOf { it.readBytes + it.writtenBytes } - before.sumOf { it.readBytes + it.writtenBytes },
        )
    }

    private class Use(
        val processorMillis: Long,
        val residentBytes: Long,
        val transferredBytes: Long,
    )

    private companion object {
        const val MILLIS_PER_SECOND = 1_000
        const val NANOS_PER_MILLI = 1e6
        const val BYTES_PER_MEGABYTE = 1e6
        const val P99 = 99.0
    }
}
