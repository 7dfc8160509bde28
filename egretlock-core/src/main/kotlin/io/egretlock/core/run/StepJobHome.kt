package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import kotlin.math.ceil

/**
 * The jobs of one entry: decides which are taken, which tasks run where and when, and what each job's one answer is.
 *
 * It has no input or output of its own. Its process passes in what happens, with the time in milliseconds of a clock that
 * never jumps, and carries out the effects that come back.
 */
class StepJobHome(
    private val rooms: AgentRooms,
    private val policies: StepJobPolicies,
    private val epochSeconds: () -> Int,
) {
    private val jobs = LinkedHashMap<JobId, HeldJob>()
    private val answered =
        object : LinkedHashMap<JobId, StepJobOutcome>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, StepJobOutcome>): Boolean = size > ANSWERS_KEPT
        }
    private val runTimes = QueueRunTimes()
    private val sizes = QueueSizes()
    private val placer = StepJobPlacer(rooms, runTimes, policies)
    private val backlog = Backlog(rooms, placer, policies.order)

    /** Jobs that are not answered yet. */
    val held: Collection<HeldJob>
        get() = jobs.values

    /** Number of jobs of [queue] of which nothing has begun. */
    fun waiting(queue: String): Int = jobs.values.count { it.queue.name == queue && !it.hasStarted }

    /** The job with this id; null if it is not held. */
    fun find(job: JobId): HeldJob? = jobs[job]

    /**
     * Takes a job or refuses it. A job that is held already is joined; one that succeeded a moment ago has its answer
     * repeated.
     *
     * @param patienceMillis how long the caller waits; null if it does not say.
     */
    fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
        nowMillis: Long,
    ): List<StepJobEffect> {
        if (job.id in jobs) return emptyList()
        answered[job.id]?.let { return listOf(StepJobEffect.Answer(job.id, it)) }
        val objective = queue.slackFactor * job.longestChainMillis + queue.targetMillis
        val size = noteDemand(job, queue, nowMillis)
        val patience = patienceMillis ?: (objective * LATE_FACTOR).toLong().coerceAtLeast(SHORTEST_PATIENCE_MILLIS)
        val held = HeldJob(job, queue, nowMillis, nowMillis + objective, nowMillis + patience, size)
        refusal(held, nowMillis)?.let { return listOf(StepJobEffect.Answer(job.id, StepJobOutcome.GivenUp(it))) }
        jobs[job.id] = held
        return placeAndExpire(nowMillis)
    }

    /** Learns from the arrival of a job; returns its size relative to its queue. */
    private fun noteDemand(
        job: StepJob,
        queue: JobQueue,
        nowMillis: Long,
    ): Double {
        var work = 0.0
        var longest = 0.0
        for (step in job.steps) {
            val taskMillis = runTimes.expectedMillis(queue.name, step.estimatedRunMillis)
            work += step.taskCount * step.room.cpuMillicores * taskMillis
            longest = maxOf(longest, taskMillis)
        }
        policies.reserve.arrived(queue.name, work, longest, nowMillis)
        return sizes.relative(queue.name, work)
    }

    /** Ends a job that nobody waits for any more; it is not answered. */
    fun abandon(
        job: JobId,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val held = jobs.remove(job) ?: return emptyList()
        return stops(held) + placeAndExpire(nowMillis)
    }

    /** Ends a job on its caller's request. */
    fun cancel(
        job: JobId,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val held = jobs[job] ?: return emptyList()
        val verdict = verdictOf(held, Reason.CANCELLED, "The caller cancelled the job.", nowMillis)
        return end(held, StepJobOutcome.GivenUp(verdict)) + placeAndExpire(nowMillis)
    }

    /** An agent has connected; its upstream's room counts in forecasts although it is not reported yet. */
    fun agentConnected(
        agent: ProcessId,
        nowMillis: Long,
    ) = rooms.expect(agent, nowMillis)

    /** Takes note of an agent's report. */
    fun agentReported(
        agent: ProcessId,
        failureDomain: FailureDomain,
        report: UpstreamReport,
        seenSequence: Long,
        nowMillis: Long,
    ): List<StepJobEffect> {
        rooms.report(agent, failureDomain, report, seenSequence)
        releaseEarlierRuns(agent, nowMillis)
        return placeAndExpire(nowMillis)
    }

    /**
     * Forgets an agent whose connection ended. Its runs are over after [RUNS_END_MILLIS] at the latest: it stops them
     * when it misses this entry, and if it is gone their leases run out. Only then are they placed elsewhere.
     */
    fun agentLost(
        agent: ProcessId,
        nowMillis: Long,
    ): List<StepJobEffect> {
        rooms.remove(agent)
        tasksOf(agent).forEach { (_, task) ->
            task.agent = null
            task.lostWith = agent
            task.notBeforeMillis = nowMillis + RUNS_END_MILLIS
        }
        return placeAndExpire(nowMillis)
    }

    /** Takes note of the end of a run; ends of runs that are not the latest one of their task change nothing. */
    fun runEnded(
        agent: ProcessId,
        run: RunId,
        end: RunEnd,
        runMillis: Double,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val held = jobs[run.task.job] ?: return placeAndExpire(nowMillis)
        val task = held.task(run.task)
        if (task == null || task.agent != agent || task.number != run.number) return placeAndExpire(nowMillis)
        task.agent = null
        val ending = taskEnded(held, task, agent, end, runMillis, nowMillis)
        return ending + placeAndExpire(nowMillis)
    }

    /** Gives up what can't be served in time any more and places what waits; called at least every 20 ms. */
    fun tick(nowMillis: Long): List<StepJobEffect> = placeAndExpire(nowMillis)

    /** Keeps what was learned of the queues named; the others are gone from the configuration. */
    fun retainQueues(names: Set<String>) {
        runTimes.retain(names)
        sizes.retain(names)
    }

    private fun taskEnded(
        held: HeldJob,
        task: HeldTask,
        agent: ProcessId,
        end: RunEnd,
        runMillis: Double,
        nowMillis: Long,
    ): List<StepJobEffect> {
        when (end) {
            RunEnd.SUCCEEDED -> {
                task.hasSucceeded = true
                rooms.record(agent, held.queue.name, succeeded = true, nowMillis)
                rooms[agent]?.let { runTimes.record(held.queue.name, runMillis, it.report.speed) }
                if (held.hasSucceeded()) return end(held, StepJobOutcome.Succeeded)
            }
            RunEnd.FAILED -> {
                task.failures++
                task.failedOn += agent
                rooms.record(agent, held.queue.name, succeeded = false, nowMillis)
                if (task.failures >= held.queue.attempts) return end(held, StepJobOutcome.Failed(task.id))
            }
            RunEnd.STALLED, RunEnd.UNHEALTHY -> {
                task.failedOn += agent
                rooms.record(agent, held.queue.name, succeeded = false, nowMillis)
            }
            RunEnd.NUMBER_USED -> task.nextNumber = maxOf(task.nextNumber, epochSeconds())
            RunEnd.NOT_STARTED, RunEnd.STOPPED, RunEnd.LOST -> Unit
        }
        if (task.failedOn.size >= rooms.all.size) task.failedOn.clear()
        return emptyList()
    }

    /** A newer process of an agent reports only when all runs of the earlier one have been stopped. */
    private fun releaseEarlierRuns(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        for (held in jobs.values) {
            for (task in held.tasks) {
                if (task.lostWith?.name == agent.name && task.lostWith != agent) {
                    task.notBeforeMillis = nowMillis
                    task.lostWith = null
                }
            }
        }
    }

    private fun tasksOf(agent: ProcessId): List<Pair<HeldJob, HeldTask>> =
        jobs.values.flatMap { held -> held.tasks.filter { it.agent == agent }.map { held to it } }

    private fun refusal(
        held: HeldJob,
        nowMillis: Long,
    ): Verdict.NotRun? {
        val service = held.queue.service
        val unsupported = held.job.unsupported + setOf("advice").filter { held.queue.needsAdvice }
        if (unsupported.isNotEmpty()) {
            val features = unsupported.sorted().joinToString()
            return Verdict.NotRun(Reason.IMPOSSIBLE, "Jobs with these features are not served: $features.")
        }
        if (rooms.knows(service)) {
            val tooLarge = held.job.steps.firstOrNull { !rooms.couldHold(service, it.room) }
            if (tooLarge != null) return Verdict.NotRun(Reason.IMPOSSIBLE, "No upstream has ${tooLarge.room}.")
        }
        val slack = placer.latestStart(held) - nowMillis
        val forecast = WaitForecast(backlog.waitMillis(jobs.values, held, nowMillis), slack)
        if (policies.admission.accepts(forecast)) return null
        val detail = "The wait of ${forecast.waitMillis.toLong()} ms exceeds the slack of ${slack.toLong()} ms."
        return Verdict.NotRun(Reason.OVERLOADED, detail, retryAfterMillis(held, nowMillis))
    }

    private fun placeAndExpire(nowMillis: Long): List<StepJobEffect> {
        val starts = placer.place(jobs.values, nowMillis)
        return starts + expire(nowMillis)
    }

    private fun expire(nowMillis: Long): List<StepJobEffect> {
        val crowded by lazy { jobs.values.any { !it.hasStarted && placer.latestStart(it) >= nowMillis } }
        return jobs.values.toList().flatMap { held ->
            when {
                nowMillis >= held.giveUpAtMillis ->
                    giveUp(
                        held,
                        Reason.DEADLINE,
                        "The caller's time is over.",
                        nowMillis,
                    )
                held.hasStarted || placer.latestStart(held) >= nowMillis -> emptyList()
                rooms.knows(held.queue.service) && crowded ->
                    giveUp(held, Reason.OVERLOADED, "Jobs that can be in time take all the room.", nowMillis)
                held.objectiveAtMillis < nowMillis ->
                    giveUp(held, Reason.OVERLOADED, "No room was found in time.", nowMillis)
                else -> emptyList()
            }
        }
    }

    private fun giveUp(
        held: HeldJob,
        reason: Reason,
        detail: String,
        nowMillis: Long,
    ): List<StepJobEffect> = end(held, StepJobOutcome.GivenUp(verdictOf(held, reason, detail, nowMillis)))

    private fun verdictOf(
        held: HeldJob,
        reason: Reason,
        detail: String,
        nowMillis: Long,
    ): Verdict =
        if (held.hasStarted) {
            Verdict.MayHaveRun(reason, detail)
        } else {
            Verdict.NotRun(reason, detail, retryAfterMillis(held, nowMillis))
        }

    private fun retryAfterMillis(
        held: HeldJob,
        nowMillis: Long,
    ): Long =
        ceil(backlog.waitMillis(jobs.values - held, held, nowMillis)).toLong().coerceIn(1, LONGEST_RETRY_AFTER_MILLIS)

    private fun end(
        held: HeldJob,
        outcome: StepJobOutcome,
    ): List<StepJobEffect> {
        jobs.remove(held.job.id)
        if (outcome == StepJobOutcome.Succeeded) answered[held.job.id] = outcome
        return stops(held) + StepJobEffect.Answer(held.job.id, outcome)
    }

    private fun stops(held: HeldJob): List<StepJobEffect> =
        held.tasks.mapNotNull { task -> task.agent?.let { StepJobEffect.Stop(it, task.run) } }

    companion object {
        /**
         * Time after the loss of a connection within which all runs that were ordered over it have ended: the longest
         * lease of an upstream, 1000 ms on a clock that may be 2 % slow, and the time of a stop.
         */
        const val RUNS_END_MILLIS = 1_100L

        /** Successful answers that are kept for repeated requests. */
        private const val ANSWERS_KEPT = 4_096

        /** Factor of the latency objective after which an answer is of no use to a caller that names no deadline. */
        private const val LATE_FACTOR = 3.0
        private const val SHORTEST_PATIENCE_MILLIS = 1_500L
        private const val LONGEST_RETRY_AFTER_MILLIS = 30_000L
    }
}
