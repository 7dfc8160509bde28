package io.egretlock.bench.steps

import io.egretlock.bench.simulation.EventQueue
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.AgentRooms
import io.egretlock.core.run.ConnectedEntry
import io.egretlock.core.run.EntryPreference
import io.egretlock.core.run.JobOwnership
import io.egretlock.core.run.OrderedRun
import io.egretlock.core.run.ReportPacing
import io.egretlock.core.run.Room
import io.egretlock.core.run.RunEnd
import io.egretlock.core.run.RunId
import io.egretlock.core.run.RunOrder
import io.egretlock.core.run.SpeedEstimate
import io.egretlock.core.run.StepJobEffect
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
import io.egretlock.core.run.StepJobScheduler
import io.egretlock.core.run.UpstreamReport
import kotlin.random.Random

/** An upstream of the simulation. */
internal data class SimulatedUpstream(
    val name: String,
    val cores: Int,
    val speed: Double,
)

/** Outcome of one job; [answerMillis] is the time from its arrival to its answer. */
internal data class JobResult(
    val job: ArrivingJob,
    val succeeded: Boolean,
    val answerMillis: Double,
) {
    /** Earned worth: all of it for an answer in time, a fifth for a late one, and nothing after that. */
    val earned: Double
        get() =
            when {
                !succeeded || answerMillis > job.objectiveMillis * ArrivingJob.LATE_FACTOR -> 0.0
                answerMillis <= job.objectiveMillis -> job.worth
                else -> job.worth * LATE_SHARE
            }

    private companion object {
        const val LATE_SHARE = 0.2
    }
}

/**
 * Simulates several entries that share the same upstreams, in virtual time. Every message takes [DELAY_MILLIS].
 */
internal class StepSimulation(
    private val policies: (Random) -> StepJobPolicies,
    private val upstreams: List<SimulatedUpstream>,
    entries: Int = 3,
) {
    private val events = EventQueue()
    private val schedulers = List(entries) { newScheduler(it) }
    private val connectedEntries = List(entries) { ConnectedEntry(entryId(it), domain(it)) }
    private val agents = upstreams.map { Agent(it) }
    private val arrived = HashMap<String, ArrivingJob>()
    private val results = mutableListOf<JobResult>()

    private val nowMillis: Double
        get() = events.nowMillis

    /** Number of starts that the entries ordered. */
    var orderedStarts = 0
        private set

    /** Number of reports that the agents sent. */
    var sentReports = 0
        private set

    /** Number of starts that the agents refused for lack of room. */
    var refusedStarts = 0
        private set

    /** Simulates [jobs] until all of them have ended, and returns their results. */
    fun run(jobs: List<ArrivingJob>): List<JobResult> {
        val endMillis = jobs.last().arrivalMillis + SETTLE_MILLIS
        agents.forEach { it.reportUntil(endMillis) }
        jobs.forEach { job -> at(job.arrivalMillis) { arrive(job) } }
        schedulers.indices.forEach { tick(it, endMillis) }
        events.run()
        return results
    }

    private fun entryId(index: Int) = ProcessId("entry-$index", 1)

    private fun newScheduler(index: Int): StepJobScheduler {
        val ownership = JobOwnership(entryId(index))
        return StepJobScheduler(AgentRooms(), policies(Random(index)), epochSeconds = { 1 }, ownership)
    }

    private fun arrive(job: ArrivingJob) {
        arrived[job.job.id.value] = job
        val patienceMillis = (job.objectiveMillis * PATIENCE_FACTOR).toLong()
        perform(job.entry, schedulers[job.entry].submit(job.job, job.queue, patienceMillis, nowMillis.toLong()))
    }

    private fun tick(
        home: Int,
        endMillis: Double,
    ) {
        perform(home, schedulers[home].tick(nowMillis.toLong()))
        if (nowMillis < endMillis) at(nowMillis + TICK_MILLIS) { tick(home, endMillis) }
    }

    private fun perform(
        home: Int,
        effects: List<StepJobEffect>,
    ) {
        for (effect in effects) {
            when (effect) {
                is StepJobEffect.Start -> at(nowMillis + DELAY_MILLIS) { agent(effect.agent).order(home, effect.order) }
                is StepJobEffect.ConfirmRuns -> Unit
                is StepJobEffect.Stop -> at(nowMillis + DELAY_MILLIS) { agent(effect.agent).stop(effect.run) }
                is StepJobEffect.Answer -> answer(effect)
            }
        }
    }

    private fun answer(effect: StepJobEffect.Answer) {
        val job = arrived.getValue(effect.job.value)
        val isSuccess = effect.outcome == StepJobOutcome.Succeeded
        results += JobResult(job, isSuccess, nowMillis - job.arrivalMillis + CLIENT_MILLIS)
    }

    private fun agent(id: ProcessId): Agent = agents.first { it.id == id }

    private fun at(
        atMillis: Double,
        action: () -> Unit,
    ) = events.at(atMillis, action)

    private inner class Agent(
        private val upstream: SimulatedUpstream,
    ) {
        val id = ProcessId(upstream.name, 1)
        private val domain = domain(upstreams.indexOf(upstream))
        private val total = Room(upstream.cores * MILLICORES, upstream.cores * MILLICORES)
        private var free = total
        private val speed = SpeedEstimate()
        private val lastSequences = HashMap<Int, Long>()
        private val running = HashMap<RunId, Room>()
        private val preferred = EntryPreference.preferred(id.name, domain, connectedEntries)
        private val pacing = schedulers.map { ReportPacing() }

        fun order(
            home: Int,
            order: RunOrder,
        ) {
            lastSequences[home] = order.sequence
            pacing[home].requestReport()
            order.runs.forEach { start(home, order, it) }
            report()
        }

        fun stop(run: RunId) {
            val room = running.remove(run) ?: return
            free += room
            report()
        }

        /** Sends the reports that the pacing has delayed, as the tick of a real agent does. */
        fun reportUntil(endMillis: Double) {
            report()
            if (nowMillis < endMillis) at(nowMillis + AGENT_TICK_MILLIS) { reportUntil(endMillis) }
        }

        private fun report() {
            val common = UpstreamReport(upstream.name, CrestLoad.SERVICE, total, free, speed.speed, accepting = true)
            schedulers.forEachIndexed { home, scheduler ->
                val report = common.copy(isPreferred = connectedEntries[home].entry == preferred)
                val covered = lastSequences[home] ?: 0
                val next = pacing[home].next(report, covered, schedulers.size, nowMillis.toLong())
                if (next == ReportPacing.Next.SEND) {
                    sentReports++
                    at(nowMillis + DELAY_MILLIS) {
                        perform(home, scheduler.onAgentReported(id, domain, report, covered, nowMillis.toLong()))
                    }
                }
            }
        }

        private fun start(
            home: Int,
            order: RunOrder,
            run: OrderedRun,
        ) {
            val runId = run.id(order.job)
            orderedStarts++
            if (!free.canHold(run.room)) {
                refusedStarts++
                sendRunEnded(home, runId, RunEnd.NOT_STARTED, 0.0)
                return
            }
            free -= run.room
            running[runId] = run.room
            val millis = arrived.getValue(order.job.value).taskMillis[run.index] / upstream.speed
            at(nowMillis + millis) { finish(home, runId, run, millis) }
        }

        private fun finish(
            home: Int,
            runId: RunId,
            run: OrderedRun,
            millis: Double,
        ) {
            val room = running.remove(runId) ?: return
            free += room
            speed.record(run.expectedMillis, millis)
            pacing[home].requestReport()
            sendRunEnded(home, runId, RunEnd.SUCCEEDED, millis)
            report()
        }

        private fun sendRunEnded(
            home: Int,
            run: RunId,
            end: RunEnd,
            millis: Double,
        ) = at(nowMillis + DELAY_MILLIS) {
            perform(home, schedulers[home].onRunEnded(id, run, end, millis, nowMillis.toLong()))
        }
    }

    companion object {
        private const val DELAY_MILLIS = 1.5
        private const val CLIENT_MILLIS = 6.0
        private const val TICK_MILLIS = 10.0
        private const val AGENT_TICK_MILLIS = 50.0
        private const val SETTLE_MILLIS = 10_000.0
        private const val PATIENCE_FACTOR = 6.0
        private const val MILLICORES = 1_000L
        private const val DOMAINS = 3

        private fun domain(index: Int) = FailureDomain("domain-${index % DOMAINS}")

        /** Eleven upstreams with 64 or 96 cores; every fourth belongs to an older, slower generation. */
        val FLEET: List<SimulatedUpstream> = fleet(count = 11)

        /** Creates [count] upstreams with the same pattern of cores and speeds as [FLEET]. */
        fun fleet(count: Int): List<SimulatedUpstream> =
            List(count) { index ->
                SimulatedUpstream(
                    name = "u$index",
                    cores = if (index % LARGE_EVERY == LARGE_EVERY - 1) LARGE_CORES else USUAL_CORES,
                    speed = if (index % OLD_EVERY == 0) OLD_SPEED else NEW_SPEED,
                )
            }

        private const val LARGE_EVERY = 3
        private const val LARGE_CORES = 96
        private const val USUAL_CORES = 64
        private const val OLD_EVERY = 4
        private const val OLD_SPEED = 0.55
        private const val NEW_SPEED = 1.2
    }
}
