package io.egretlock.core.home

import io.egretlock.core.claim.BodyDigest
import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.Admission
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.EntryShare
import io.egretlock.core.settings.StoredTeamSettings

/**
 * State of the jobs whose home is one entry: their claims, progress and outcomes. Each job has exactly one outcome.
 *
 * Does no I/O and reads no clock: callers pass monotonic milliseconds, and after each call carry out the effects that
 * [takeEffects] returns, in order. Not safe for concurrent use: confined to one coroutine.
 */
class Home(
    private val dispatchers: ServiceDispatchers,
    private val limits: HomeLimits = HomeLimits(),
) {
    private val jobs = HomeJobs(limits.retention)
    private val agents = HomeAgents()
    private val placer = TaskPlacer(jobs, agents, dispatchers)
    private val effects = mutableListOf<HomeEffect>()
    private var isClaiming = true

    /** Number of jobs that have not ended. */
    val liveJobs: Int
        get() = jobs.live

    /** Number of ended jobs whose claims are retained for resubmissions. */
    val rememberedJobs: Int
        get() = jobs.remembered

    /** Places queued tasks, and returns and clears the effects since the previous call, in order. */
    fun takeEffects(nowMillis: Long): List<HomeEffect> {
        effects += placer.startTasks(nowMillis)
        effects += dispatchers.creditRequests()
        return effects.toList().also { effects.clear() }
    }

    /** Applies the settings of a team, also to queued tasks. */
    fun applySettings(settings: StoredTeamSettings) = dispatchers.applySettings(settings)

    /** Updates this entry's share of the limits after the entries have changed. */
    fun entryShareChanged(share: EntryShare) = dispatchers.entryShareChanged(share)

    /** Refuses new jobs from now on. Jobs that were claimed before go on, and resubmissions may join them. */
    fun stopClaiming() {
        isClaiming = false
    }

    /** Claims a job, or joins the existing claim on its id. */
    fun submit(
        job: Job,
        remainingMillis: Long,
        nowMillis: Long,
    ): Submission {
        val live = jobs[job.id]?.takeIf { it.outcome == null }
        val endedClaim = jobs.endedClaim(job.id)
        val digest = live?.digest ?: endedClaim?.digest
        return when {
            digest == null -> claim(job, remainingMillis, nowMillis)
            digest != BodyDigest.of(job) -> Submission.Ended(JobOutcome.WithoutAnswer(HomeVerdicts.conflict(job)))
            endedClaim != null -> Submission.Ended(endedClaim.outcome)
            else -> Submission.Waiting
        }
    }

    /** Ends a job at its caller's request and returns its outcome, or null if the job is unknown. */
    fun cancel(
        job: JobId,
        nowMillis: Long,
    ): JobOutcome? {
        val live = jobs[job]?.takeIf { it.outcome == null }
        live?.let { end(it, HomeVerdicts.endedEarly(it, Reason.CANCELLED, "The caller cancelled the job."), nowMillis) }
        return jobs.endedClaim(job)?.outcome
    }

    /** Returns the progress of a job, or null if the job is unknown. */
    fun progress(job: JobId): JobProgress? =
        when (jobs.endedClaim(job)?.outcome) {
            is JobOutcome.Complete -> JobProgress.COMPLETE
            is JobOutcome.WithoutAnswer -> JobProgress.WITHOUT_ANSWER
            null -> jobs[job]?.let { if (it.mayHaveStarted) JobProgress.RUNNING else JobProgress.QUEUED }
        }

    /** Returns the claims of ended jobs, for handover to an heir. */
    fun exportClaims(nowMillis: Long): List<ExportedClaim> = jobs.exportClaims(nowMillis)

    /** Adds the claims of a home that has stopped. */
    fun importClaims(
        imported: List<ExportedClaim>,
        nowMillis: Long,
    ) = jobs.importClaims(imported, nowMillis)

    /**
     * Records that an agent has connected or has changed its announcement; [view] is null while it has no upstream. An
     * earlier incarnation of the agent is presumed lost.
     */
    fun agentConnected(
        agent: ProcessId,
        view: AgentView?,
        nowMillis: Long,
    ) {
        agents.earlierIncarnation(agent)?.let { removeAgent(it, nowMillis) }
        val reconnected = agents.markConnected(agent)
        if (view == null) dispatchers.agentLost(agent) else dispatchers.agentChanged(view)
        if (reconnected) placer.reconciliation(agent)?.let { effects += it }
    }

    /** Records that the connection to an agent ended, and with it the agent's unused credits. */
    fun agentDisconnected(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        agents.markDisconnected(agent, nowMillis)
        dispatchers.agentLost(agent)
    }

    /** Records that [count] more tasks may be started on [agent]. */
    fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) = dispatchers.creditsGranted(agent, count)

    /** Returns up to [count] unused credits to [agent], which recalls them. */
    fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ) {
        effects += HomeEffect.ReturnCredits(agent, dispatchers.creditsRecalled(agent, count))
    }

    /** Records that a task ended at its agent. Repeated reports are acknowledged and otherwise ignored. */
    fun taskFinished(
        agent: ProcessId,
        task: TaskId,
        outcome: TaskOutcome,
        runMillis: Long,
        nowMillis: Long,
    ) {
        effects += HomeEffect.AcknowledgeTask(agent, task)
        val homeJob = jobs[task.job] ?: return
        val progress = homeJob.progress(task.index)
        if (progress !is TaskProgress.Placed || progress.agent != agent) return
        agents.removeTask(agent, task)
        dispatchers.taskEnded(homeJob.job.service, task, agent, runMillis, outcome is TaskOutcome.Succeeded, nowMillis)
        when (outcome) {
            is TaskOutcome.Succeeded -> recordAnswer(homeJob, task, outcome.answer, nowMillis)
            is TaskOutcome.Ended -> recordFailure(homeJob, task, outcome.verdict, nowMillis)
        }
    }

    /** Records that an attempt will never start. The task is queued again unless its job has ended. */
    fun attemptNotStarted(
        agent: ProcessId,
        attempt: TaskAttempt,
        nowMillis: Long,
    ) {
        val homeJob = jobs[attempt.task.job] ?: return
        val progress = homeJob.progress(attempt.task.index)
        if (progress != TaskProgress.Placed(agent, attempt.attempt)) return
        agents.removeTask(agent, attempt.task)
        homeJob.removePlacement(attempt.task.index)
        dispatchers.taskRequeued(homeJob.job.service, attempt.task, nowMillis)
        jobs.removeIfInactive(homeJob)
    }

    /** Ends overdue jobs, removes agents that are presumed lost, and removes claims whose retention has passed. */
    fun tick(nowMillis: Long) {
        agents.disconnectedLongerThan(limits.agentGraceMillis, nowMillis).forEach { removeAgent(it, nowMillis) }
        jobs.takeOverdue(nowMillis).forEach { overdue ->
            end(overdue, HomeVerdicts.endedEarly(overdue, Reason.DEADLINE, "The deadline has passed."), nowMillis)
        }
        jobs.expire(nowMillis)
        effects += dispatchers.tickCreditRequests()
    }

    /** Returns the ids of the jobs that have not ended, in order of arrival. */
    fun liveJobIds(): List<JobId> = jobs.liveIds()

    private fun claim(
        job: Job,
        remainingMillis: Long,
        nowMillis: Long,
    ): Submission {
        val homeJob = HomeJob(job, nowMillis + remainingMillis)
        jobs.add(homeJob)
        return when (val admission = admit(homeJob, nowMillis)) {
            is Admission.Admitted -> Submission.Waiting
            is Admission.Refused -> refuse(homeJob, admission.verdict, nowMillis)
        }
    }

    private fun admit(
        homeJob: HomeJob,
        nowMillis: Long,
    ): Admission =
        if (isClaiming) {
            dispatchers.submit(homeJob.job, homeJob.deadlineAtMillis, nowMillis)
        } else {
            Admission.Refused(HomeVerdicts.draining())
        }

    /** Records the refusal as outcome of the job, so that a delayed duplicate of the submission never runs. */
    private fun refuse(
        homeJob: HomeJob,
        verdict: Verdict.NotRun,
        nowMillis: Long,
    ): Submission {
        val outcome = JobOutcome.WithoutAnswer(verdict)
        jobs.end(homeJob, outcome, nowMillis)
        effects += HomeEffect.JobEnded(homeJob.job.id, homeJob.job.team, outcome)
        return Submission.Ended(outcome)
    }

    private fun removeAgent(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        val verdict = HomeVerdicts.agentLost(agent)
        dispatchers.agentLost(agent)
        for (task in agents.remove(agent)) {
            val homeJob = jobs[task.job] ?: continue
            if (homeJob.outcome == null) end(homeJob, JobOutcome.WithoutAnswer(verdict), nowMillis)
            dispatchers.taskEnded(homeJob.job.service, task, agent, null, succeeded = false, nowMillis)
            homeJob.removePlacement(task.index)
            jobs.removeIfInactive(homeJob)
        }
    }

    private fun recordAnswer(
        homeJob: HomeJob,
        task: TaskId,
        answer: String,
        nowMillis: Long,
    ) {
        homeJob.recordAnswer(task.index, answer)
        val answers = homeJob.answers()
        if (homeJob.outcome == null && answers != null) end(homeJob, JobOutcome.Complete(answers), nowMillis)
        jobs.removeIfInactive(homeJob)
    }

    private fun recordFailure(
        homeJob: HomeJob,
        task: TaskId,
        verdict: Verdict,
        nowMillis: Long,
    ) {
        if (homeJob.outcome == null) end(homeJob, JobOutcome.WithoutAnswer(HomeVerdicts.afterStart(verdict)), nowMillis)
        homeJob.removePlacement(task.index)
        jobs.removeIfInactive(homeJob)
    }

    private fun end(
        homeJob: HomeJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        dispatchers.withdraw(homeJob.job.service, homeJob.job.id)
        homeJob.placedTasks.forEach { (task, placed) -> effects += HomeEffect.CancelTask(placed.agent, task) }
        jobs.end(homeJob, outcome, nowMillis)
        effects += HomeEffect.JobEnded(homeJob.job.id, homeJob.job.team, outcome)
    }
}

/** Reply of a [Home] to a submission. */
sealed interface Submission {
    /** The job has not ended; [HomeEffect.JobEnded] will report its outcome. */
    data object Waiting : Submission

    /** The job has ended, by this submission or earlier. */
    data class Ended(
        val outcome: JobOutcome,
    ) : Submission
}

/** Progress of a job. */
enum class JobProgress { QUEUED, RUNNING, COMPLETE, WITHOUT_ANSWER }
