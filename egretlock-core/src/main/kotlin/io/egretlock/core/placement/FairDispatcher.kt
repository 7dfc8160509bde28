package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.StoredTeamSettings

/**
 * Dispatcher that shares slots fairly among teams, keeps short tasks from waiting behind long ones, refuses jobs that
 * would miss their deadline, and avoids slow and failing agents. [fairDispatcher] builds it.
 */
class FairDispatcher internal constructor(
    private val components: FairDispatcherComponents,
) : Dispatcher {
    private val runTimes = components.runTimes
    private val admission = components.admission
    private val circuitBreaker = components.circuitBreaker
    private val teamAccounts = TeamAccounts(components.service)
    private val pool = AgentPool(runTimes)
    private val checks = JobChecks(runTimes)
    private val queues = ClassQueues(components, teamAccounts)
    private val forecaster = JobForecaster(components, queues)
    private val drainRate = DrainRate()
    private val stallClock = StallClock()
    private val jobs = QueuedJobs()
    private val running = HashMap<TaskId, RunningTask>()
    private val views = HashMap<ProcessId, AgentView>()

    private val rate: Double
        get() = (pool.nominalRate * drainRate.factor).coerceAtLeast(SMALLEST_RATE)

    override fun applySettings(settings: StoredTeamSettings) {
        val account = teamAccounts.applySettings(settings) ?: return
        queues.updateAccount(account)
        queues.longShare = teamAccounts.longShare
        pool.setLimits(teamAccounts.longShare, teamAccounts.entryShare)
    }

    override fun entryShareChanged(share: EntryShare) {
        teamAccounts.entryShare = share
        teamAccounts.all.forEach(queues::updateAccount)
        pool.setLimits(teamAccounts.longShare, share)
    }

    override fun agentChanged(view: AgentView) {
        views.put(view.agent, view)?.let { old -> checks.remove(old.upstream.resources) }
        checks.add(view.upstream.resources)
        circuitBreaker.add(view.agent)
        pool.put(view)
    }

    override fun agentLost(agent: ProcessId) {
        val view = views.remove(agent) ?: return
        checks.remove(view.upstream.resources)
        circuitBreaker.forget(agent)
        pool.remove(agent)
    }

    override fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) = pool.addCredits(agent, count)

    override fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ): Int = pool.returnCredits(agent, count)

    override fun submit(
        job: Job,
        deadlineAtMillis: Long,
        nowMillis: Long,
    ): Admission {
        val refusal = refusalOf(job, deadlineAtMillis - nowMillis, nowMillis)
        if (refusal != null) return Admission.Refused(refusal)
        val queued = QueuedJob(job, deadlineAtMillis)
        queues.enqueue(queued)
        jobs.add(queued)
        return Admission.Admitted
    }

    override fun placements(nowMillis: Long): List<Placement> {
        jobs.expire(nowMillis).forEach(queues::drop)
        observe(nowMillis)
        updateAvailability(nowMillis)
        val placements = ArrayList<Placement>()
        while (true) placements += placeNext() ?: break
        return placements
    }

    override fun taskEnded(
        task: TaskId,
        agent: ProcessId,
        runMillis: Long?,
        succeeded: Boolean,
        nowMillis: Long,
    ) {
        val ended = release(task) ?: return
        if (runMillis != null && succeeded && ended.agent.id in views) learn(ended, runMillis)
        if (ended.account.countsForCircuitBreaker && (succeeded || !ended.job.isWithdrawn)) {
            circuitBreaker.record(ended.agent.id, ended.specification.operation, succeeded, nowMillis)
            pool.suspend(ended.agent.id, circuitBreaker.isSuspended(ended.agent.id))
        }
        pool.countEnd(ended.agent, ended.taskClass)
        drainRate.recordFinished(ended.workMillis)
        forgetIfEnded(ended.job)
    }

    override fun taskRequeued(
        task: TaskId,
        nowMillis: Long,
    ) {
        val returned = release(task) ?: return
        pool.countEnd(returned.agent, returned.taskClass)
        if (returned.job.isWithdrawn) {
            forgetIfEnded(returned.job)
            return
        }
        queues.putBack(returned, task.index)
        jobs.add(returned.job)
    }

    override fun withdraw(job: JobId) {
        val queued = jobs.remove(job) ?: return
        queues.drop(queued)
    }

    override fun overdueJobs(nowMillis: Long): List<JobId> {
        jobs.expire(nowMillis).forEach(queues::drop)
        return jobs.takeExpired()
    }

    override fun creditsWanted(): Int {
        val useful = queues.short.startable + minOf(queues.long.startable, pool.freeLongSlots)
        return (useful - pool.usableCredits).coerceAtLeast(0)
    }

    private fun refusalOf(
        job: Job,
        remainingMillis: Long,
        nowMillis: Long,
    ): Verdict.NotRun? {
        val limits = teamAccounts.limitsOf(job.team) ?: return teamAccounts.refusalOf(job.team)
        val impossible = checks.refusal(job, limits, remainingMillis)
        if (impossible != null) return impossible
        val account = teamAccounts.accountOf(job.team)
        val forecast = forecaster.forecast(job, account, remainingMillis, rate)
        val waiting = queues.short.waitingOf(account) + queues.long.waitingOf(account)
        if (waiting + job.tasks.size > limits.longestQueue) {
            val detail = "$waiting tasks of team '${job.team}' wait; at most ${limits.longestQueue} may."
            return Verdict.NotRun(Reason.QUOTA, detail, forecast.waitMillis.toLong().coerceAtLeast(1))
        }
        observe(nowMillis)
        return if (runTimes.hasLearned) admission.refusal(forecast, nowMillis) else null
    }

    /**
     * Allows probes that are due, and slow agents if the backlog is long. Learned run times can be far too short, so
     * the time without any start counts as well as the expected time to drain the backlog.
     */
    private fun updateAvailability(nowMillis: Long) {
        circuitBreaker.probesDue(nowMillis).forEach(pool::allowProbe)
        pool.probeSlowAgents(nowMillis)
        val limit = if (pool.slowAgentsAreNeeded) SLOW_AGENTS_CLEARED_MILLIS else SLOW_AGENTS_WAIT_MILLIS
        stallClock.observe(queues.startable > 0, nowMillis)
        pool.slowAgentsAreNeeded = maxOf(backlogMillis(), stallClock.stalledMillis(nowMillis).toDouble()) > limit
    }

    private fun observe(nowMillis: Long) {
        drainRate.observe(nowMillis, queues.startable > 0, pool.nominalRate)
        admission.observe(backlogMillis(), nowMillis)
    }

    /** Time that the waiting tasks that no quota blocks need to drain. */
    private fun backlogMillis(): Double {
        if (queues.waiting == 0) return 0.0
        return queues.workMillis / rate * queues.startable / queues.waiting
    }

    private fun placeNext(): Placement? {
        val first = queues.firstClass()
        val second = if (first == TaskClass.SHORT) TaskClass.LONG else TaskClass.SHORT
        return placeNextOf(first) ?: placeNextOf(second)
    }

    private fun placeNextOf(taskClass: TaskClass): Placement? {
        val batch = queues.peek(taskClass) ?: return null
        val agent = pool.best(taskClass) ?: return null
        return place(batch, agent)
    }

    private fun place(
        batch: TaskBatch,
        agent: AgentState,
    ): Placement {
        val job = batch.owner
        val account = teamAccounts.accountOf(job.job.team)
        val specification = batch.nextSpecification
        val index = queues.take(batch, account, canStartLong = pool.freeLongSlots > 0)
        jobs.taskPlaced(job)
        pool.countStart(agent, batch.taskClass)
        stallClock.reset()
        val task = TaskId(job.job.id, index)
        running[task] = RunningTask(job, account, batch.taskClass, agent, specification, batch.workMillis)
        return Placement(task, agent.id)
    }

    private fun release(task: TaskId): RunningTask? {
        val ended = running.remove(task) ?: return null
        ended.account.running--
        ended.job.placedTasks--
        queues.updateAccount(ended.account)
        return ended
    }

    private fun forgetIfEnded(job: QueuedJob) {
        if (job.placedTasks == 0 && job.waitingTasks == 0) jobs.remove(job.job.id)
    }

    private fun learn(
        ended: RunningTask,
        runMillis: Long,
    ) {
        val operation = ended.specification.operation
        runTimes.record(operation, ended.agent.id, runMillis)
        runTimes.typicalMillis(operation)?.let { typical -> components.classifier.update(operation, typical) }
    }

    private companion object {
        const val SMALLEST_RATE = 0.001
        const val SLOW_AGENTS_WAIT_MILLIS = 1_000.0
        const val SLOW_AGENTS_CLEARED_MILLIS = 250.0
    }
}
