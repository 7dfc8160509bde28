package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason

/**
 * Scheduler of the jobs of one entry: decides which jobs are accepted, when and on which agents their tasks run, and
 * the single answer of each job.
 *
 * It does no input or output. Its process calls it for each event, with the time in milliseconds of a monotonic clock,
 * and carries out the returned effects.
 */
class StepJobScheduler(
    private val rooms: AgentRooms,
    private val policies: StepJobPolicies,
    private val epochSeconds: () -> Int,
    private val ownership: JobOwnership,
) {
    private val ending = EndingRuns()
    private val jobs = LinkedHashMap<JobId, ActiveJob>()
    private val answered =
        object : LinkedHashMap<JobId, StepJobOutcome>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, StepJobOutcome>): Boolean = size > MAX_KEPT_OUTCOMES
        }
    private val runTimes = QueueRunTimes()
    private val demand = QueueDemand(runTimes, policies.reserve)
    private val placer = StepJobPlacer(rooms, runTimes, policies, ownership)
    private val verdicts =
        StepJobVerdicts(rooms, placer, BacklogForecaster(rooms, placer, policies.order), policies.admission)
    private var isBatching = false
    private var isPlacementDue = false

    /** Accepted jobs that are not answered yet. */
    val activeJobs: Collection<ActiveJob>
        get() = jobs.values

    /** Returns the number of jobs of [queue] of which no run was ordered yet. */
    fun waitingCount(queue: String): Int = jobs.values.count { it.queue.name == queue && !it.hasStarted }

    /** Returns the job with this id; null if it is not active. */
    fun find(job: JobId): ActiveJob? = jobs[job]

    /** Returns which runs of [job] there are, also after it was answered. */
    fun runsOf(
        job: JobId,
        nowMillis: Long,
    ): JobRuns {
        val tasks = jobs[job]?.tasks.orEmpty()
        return when {
            tasks.any { it.agent != null } || ending.hasActiveRuns(job) -> JobRuns.ACTIVE
            tasks.any { it.isLostAt(nowMillis) } || job in ending -> JobRuns.LOST
            else -> JobRuns.NONE
        }
    }

    /**
     * Accepts or refuses a job. If the job is active already, the caller waits for the same answer; if the job
     * succeeded recently, its answer is repeated.
     *
     * @param patienceMillis how long the caller waits for the answer; null if the caller set no limit.
     */
    fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
        nowMillis: Long,
    ): List<StepJobEffect> {
        if (job.id in jobs) return emptyList()
        answered[job.id]?.let { return listOf(StepJobEffect.Answer(job.id, it)) }
        val objective = queue.slackFactor * job.criticalPathMillis + queue.targetMillis
        val size = demand.record(job, queue, nowMillis)
        val patience = patienceMillis ?: (objective * PATIENCE_FACTOR).toLong().coerceAtLeast(MIN_PATIENCE_MILLIS)
        val active = ActiveJob(job, queue, nowMillis, nowMillis + objective, nowMillis + patience, size)
        // Jobs that need a confirmation first take no room meanwhile.
        val ahead = jobs.values.filter { it.hasActiveRuns || ownership.mayPlace(it.job.id, nowMillis) }
        verdicts.refusal(active, ahead, nowMillis)?.let {
            return listOf(StepJobEffect.Answer(job.id, StepJobOutcome.GivenUp(it)))
        }
        jobs[job.id] = active
        ownership.open(job.id, nowMillis)
        return placeAndExpire(nowMillis)
    }

    /** Stops a job that no caller of this entry waits for any more; it gets no answer. */
    fun abandon(
        job: JobId,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val active = jobs[job] ?: return emptyList()
        return remove(active, nowMillis) + placeAndExpire(nowMillis)
    }

    /** Stops a job at its caller's request. */
    fun cancel(
        job: JobId,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val active = jobs[job] ?: return emptyList()
        val verdict = verdicts.of(active, jobs.values, Reason.CANCELLED, "The caller cancelled the job.", nowMillis)
        return finish(active, StepJobOutcome.GivenUp(verdict), nowMillis) + placeAndExpire(nowMillis)
    }

    /** Records that an agent has connected; forecasts include the room of its upstream before it is reported. */
    fun onAgentConnected(
        agent: ProcessId,
        nowMillis: Long,
    ) = rooms.expectReport(agent, nowMillis)

    /** Records an agent's report. */
    fun onAgentReported(
        agent: ProcessId,
        failureDomain: FailureDomain,
        report: UpstreamReport,
        seenSequence: Long,
        nowMillis: Long,
    ): List<StepJobEffect> {
        rooms.report(agent, failureDomain, report, seenSequence)
        releaseTasksOfEarlierProcess(agent, nowMillis)
        return placeAfterBatch(nowMillis)
    }

    /**
     * Removes an agent whose connection was lost. Its runs have ended after [RUNS_ENDED_AFTER_MILLIS] at the latest:
     * the agent stops them when it loses this entry, and if the agent has ended, their leases expire. An order that the
     * agent has not reported to have seen may still reach it and start runs while the order is valid, unless
     * [hasReconnected]: an agent opens another connection only after it has given up the earlier one. The tasks are
     * placed again only when none of that can happen any more.
     */
    fun onAgentLost(
        agent: ProcessId,
        nowMillis: Long,
        hasReconnected: Boolean = false,
    ): List<StepJobEffect> {
        val room = rooms[agent]
        rooms.remove(agent)
        val ordersValidMillis = if (hasReconnected) 0 else RunOrder.VALID_MILLIS
        ending.onAgentLost(agent, nowMillis + ordersValidMillis + RUNS_ENDED_AFTER_MILLIS)
        jobs.values.flatMap { it.tasks }.filter { it.agent == agent }.forEach { task ->
            val isOrderSettled = hasReconnected || room?.hasSeen(task.orderSequence) ?: false
            val validUntilMillis = if (isOrderSettled) nowMillis else task.orderedAtMillis + RunOrder.VALID_MILLIS
            task.agent = null
            task.lostAgent = agent
            task.notBeforeMillis = maxOf(nowMillis, validUntilMillis) + RUNS_ENDED_AFTER_MILLIS
        }
        return placeAndExpire(nowMillis)
    }

    /** Records the end of a run. The end of a run that is not the latest of its task is ignored. */
    fun onRunEnded(
        agent: ProcessId,
        run: RunId,
        end: RunEnd,
        runMillis: Double,
        nowMillis: Long,
    ): List<StepJobEffect> {
        ending.onRunEnded(run)
        val active = jobs[run.task.job] ?: return placeAfterBatch(nowMillis)
        val task = active.task(run.task)
        if (task == null || task.agent != agent || task.runNumber != run.number) return placeAfterBatch(nowMillis)
        task.agent = null
        val effects = recordTaskEnd(active, task, agent, end, runMillis, nowMillis)
        return effects + placeAfterBatch(nowMillis)
    }

    /**
     * Handles the events in [body] as one batch: their reports and ends of runs cause a single placement, whose effects
     * are returned. At a load peak many reports arrive at once, and a placement for each, over all waiting jobs and all
     * agents, would take more processor time than the small instances have. A job that arrives is placed at once, as
     * the forecast for the next one counts waiting jobs as work ahead.
     */
    fun batch(
        nowMillis: () -> Long,
        body: () -> Unit,
    ): List<StepJobEffect> {
        isBatching = true
        try {
            body()
        } finally {
            isBatching = false
        }
        return if (isPlacementDue) placeAndExpire(nowMillis()) else emptyList()
    }

    /** Places tasks that other entries have confirmed, unless a batch is being handled, which places them at its end. */
    fun onOwnershipChanged(nowMillis: Long): List<StepJobEffect> = placeAfterBatch(nowMillis)

    /** Places waiting tasks and gives up jobs that can no longer be served in time; called at least every 20 ms. */
    fun tick(nowMillis: Long): List<StepJobEffect> = placeAndExpire(nowMillis)

    /** Removes the statistics of all queues except [names], which are those that the configuration still has. */
    fun retainQueues(names: Set<String>) {
        runTimes.retain(names)
        demand.retain(names)
    }

    private fun recordTaskEnd(
        active: ActiveJob,
        task: ActiveTask,
        agent: ProcessId,
        end: RunEnd,
        runMillis: Double,
        nowMillis: Long,
    ): List<StepJobEffect> {
        when (end) {
            RunEnd.SUCCEEDED -> {
                task.hasSucceeded = true
                rooms.record(agent, active.queue.name, succeeded = true, nowMillis)
                rooms[agent]?.let { runTimes.record(active.queue.name, runMillis, it.report.speed) }
                if (active.hasSucceeded()) return finish(active, StepJobOutcome.Succeeded, nowMillis)
            }
            RunEnd.FAILED -> {
                task.failures++
                task.failedOn += agent
                rooms.record(agent, active.queue.name, succeeded = false, nowMillis)
                if (task.failures >=
                    active.queue.attempts
                ) {
                    return finish(active, StepJobOutcome.Failed(task.id), nowMillis)
                }
            }
            RunEnd.STALLED, RunEnd.UNHEALTHY -> {
                task.failedOn += agent
                rooms.record(agent, active.queue.name, succeeded = false, nowMillis)
            }
            RunEnd.NUMBER_USED -> task.nextRunNumber = maxOf(task.nextRunNumber, epochSeconds())
            RunEnd.NOT_STARTED, RunEnd.STOPPED, RunEnd.LOST -> Unit
        }
        if (task.failedOn.size >= rooms.all.size) task.failedOn.clear()
        return emptyList()
    }

    /**
     * Makes tasks of an earlier process of [agent] available for placement at once: the new process reports only when
     * all runs of the earlier one have been stopped.
     */
    private fun releaseTasksOfEarlierProcess(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        for (active in jobs.values) {
            for (task in active.tasks) {
                if (task.lostAgent?.name == agent.name && task.lostAgent != agent) {
                    task.notBeforeMillis = nowMillis
                    task.lostAgent = null
                }
            }
        }
    }

    private fun placeAfterBatch(nowMillis: Long): List<StepJobEffect> {
        if (!isBatching) return placeAndExpire(nowMillis)
        isPlacementDue = true
        return emptyList()
    }

    private fun placeAndExpire(nowMillis: Long): List<StepJobEffect> {
        isPlacementDue = false
        ending.removeEnded(nowMillis).forEach { if (it !in jobs) ownership.close(it) }
        val starts = placer.place(jobs.values, nowMillis) { it !in ending && ownership.mayPlace(it, nowMillis) }
        return confirmRuns(nowMillis) + starts + stopUnconfirmed(nowMillis) + expire(nowMillis)
    }

    /** Tells the agents of runs that were ordered unconfirmed that their jobs are confirmed now. */
    private fun confirmRuns(nowMillis: Long): List<StepJobEffect.ConfirmRuns> =
        jobs.values
            .filter { active -> active.tasks.any { it.needsConfirmation } }
            .filter { ownership.confirmWithinMillis(it.job.id, nowMillis) == null }
            .flatMap { active ->
                active.tasks.forEach { it.needsConfirmation = false }
                active.tasks
                    .mapNotNull { it.agent }
                    .distinct()
                    .map { StepJobEffect.ConfirmRuns(it, active.job.id) }
            }

    /** Stops the runs of jobs that callers may have submitted to another entry meanwhile; their tasks wait again. */
    private fun stopUnconfirmed(nowMillis: Long): List<StepJobEffect.Stop> =
        jobs.values.filter { ownership.mustStop(it.job.id, nowMillis) }.flatMap { active ->
            active.tasks.filter { !it.isStopRequested }.mapNotNull { task ->
                task.isStopRequested = true
                task.agent?.let { StepJobEffect.Stop(it, task.run) }
            }
        }

    private fun expire(nowMillis: Long): List<StepJobEffect> {
        val canOthersBeInTime by lazy { jobs.values.any { !it.hasStarted && placer.latestStart(it) >= nowMillis } }
        return jobs.values.toList().flatMap { active ->
            when {
                nowMillis >= active.giveUpAtMillis ->
                    giveUp(
                        active,
                        Reason.DEADLINE,
                        "The caller's time is over.",
                        nowMillis,
                    )
                active.hasStarted || placer.latestStart(active) >= nowMillis -> emptyList()
                rooms.hasAgentOf(active.queue.service) && canOthersBeInTime ->
                    giveUp(active, Reason.OVERLOADED, "Jobs that can be in time take all the room.", nowMillis)
                active.objectiveAtMillis < nowMillis ->
                    giveUp(active, Reason.OVERLOADED, "No room was found in time.", nowMillis)
                else -> emptyList()
            }
        }
    }

    private fun giveUp(
        active: ActiveJob,
        reason: Reason,
        detail: String,
        nowMillis: Long,
    ): List<StepJobEffect> =
        finish(active, StepJobOutcome.GivenUp(verdicts.of(active, jobs.values, reason, detail, nowMillis)), nowMillis)

    private fun finish(
        active: ActiveJob,
        outcome: StepJobOutcome,
        nowMillis: Long,
    ): List<StepJobEffect> {
        if (outcome == StepJobOutcome.Succeeded) answered[active.job.id] = outcome
        return remove(active, nowMillis) + StepJobEffect.Answer(active.job.id, outcome)
    }

    /** Removes a job; it stays owned by this entry until its runs are over. */
    private fun remove(
        active: ActiveJob,
        nowMillis: Long,
    ): List<StepJobEffect> {
        val id = active.job.id
        jobs.remove(id)
        ending.add(active, nowMillis)
        if (id !in ending) ownership.close(id)
        return active.tasks.mapNotNull { task -> task.agent?.let { StepJobEffect.Stop(it, task.run) } }
    }

    companion object {
        /**
         * Time after the loss of a connection by which all runs that were ordered over it have ended: the longest lease
         * of an upstream, 1000 ms on a clock that may be 2 % slow, plus the time for a stop.
         */
        const val RUNS_ENDED_AFTER_MILLIS = 1_100L

        /** Number of outcomes of succeeded jobs that are kept for repeated requests. */
        private const val MAX_KEPT_OUTCOMES = 4_096

        /** Multiple of the latency objective for which a caller that sets no limit is assumed to wait. */
        private const val PATIENCE_FACTOR = 3.0
        private const val MIN_PATIENCE_MILLIS = 1_500L
    }
}
