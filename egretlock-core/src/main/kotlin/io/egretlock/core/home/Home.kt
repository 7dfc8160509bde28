package io.egretlock.core.home

import io.egretlock.core.claim.BodyDigest
import io.egretlock.core.claim.HandedClaim
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
 * The jobs whose home is one entry: claims, progress, and the one outcome of each.
 *
 * Does no I/O and reads no clock: callers pass monotonic milliseconds, and carry out the effects that [drain] returns
 * after each call, in order. Confined to one task; not safe for concurrent use.
 */
class Home(
    private val dispatchers: ServiceDispatchers,
    private val limits: HomeLimits = HomeLimits(),
) {
    private val jobs = HomeJobs(limits.retention)
    private val agents = HomeAgents()
    private val placer = TaskPlacer(jobs, agents, dispatchers)
    private val effects = mutableListOf<HomeEffect>()
    private var claiming = true

    /** Jobs that have not ended. */
    val liveJobs: Int
        get() = jobs.live

    /** Ended jobs that are remembered for resubmissions. */
    val rememberedJobs: Int
        get() = jobs.remembered

    /** Effects of the calls since the last drain, in order. */
    fun drain(nowMillis: Long): List<HomeEffect> {
        effects += placer.startTasks(nowMillis)
        effects += dispatchers.creditRequests()
        return effects.toList().also { effects.clear() }
    }

    /** Applies the settings of a team, also to queued work. */
    fun applySettings(settings: StoredTeamSettings) = dispatchers.applySettings(settings)

    /** The entries that share the limits have changed. */
    fun entriesChanged(share: EntryShare) = dispatchers.entriesChanged(share)

    /** Refuses jobs that are not known yet from now on; claimed ones go on, and submissions may join them. */
    fun stopClaiming() {
        claiming = false
    }

    /** Claims a job or joins the claim that stands. */
    fun submit(
        job: Job,
        remainingMillis: Long,
        nowMillis: Long,
    ): Submission {
        val live = jobs[job.id]?.takeIf { it.outcome == null }
        val ended = jobs.ended(job.id)
        val digest = live?.digest ?: ended?.digest
        return when {
            digest == null -> claim(job, remainingMillis, nowMillis)
            digest != BodyDigest.of(job) -> Submission.Ended(JobOutcome.WithoutAnswer(HomeVerdicts.conflict(job)))
            ended != null -> Submission.Ended(ended.outcome)
            else -> Submission.Waiting
        }
    }

    /** Ends a job at its caller's wish. Returns null if the job is not known here. */
    fun cancel(
        job: JobId,
        nowMillis: Long,
    ): JobOutcome? {
        val live = jobs[job]?.takeIf { it.outcome == null }
        live?.let { end(it, HomeVerdicts.cutShort(it, Reason.CANCELLED, "The caller cancelled the job."), nowMillis) }
        return jobs.ended(job)?.outcome
    }

    /** How far a job is; null if it is not known here. */
    fun state(job: JobId): JobProgress? =
        when (jobs.ended(job)?.outcome) {
            is JobOutcome.Complete -> JobProgress.COMPLETE
            is JobOutcome.WithoutAnswer -> JobProgress.WITHOUT_ANSWER
            null -> jobs[job]?.let { if (it.mayHaveStarted) JobProgress.RUNNING else JobProgress.QUEUED }
        }

    /** Claims of ended jobs, for an heir. */
    fun exportClaims(nowMillis: Long): List<HandedClaim> = jobs.exportClaims(nowMillis)

    /** Takes over the claims of a home that has stopped. */
    fun importClaims(
        handed: List<HandedClaim>,
        nowMillis: Long,
    ) = jobs.importClaims(handed, nowMillis)

    /**
     * An agent has connected, or announces something else; [view] is null while it has no upstream. An earlier
     * incarnation of the agent is given up.
     */
    fun agentConnected(
        agent: ProcessId,
        view: AgentView?,
        nowMillis: Long,
    ) {
        agents.earlierIncarnation(agent)?.let { agentGone(it, nowMillis) }
        val reconnected = agents.connected(agent)
        if (view == null) dispatchers.agentLost(agent) else dispatchers.agentChanged(view)
        if (reconnected) placer.reconciliation(agent)?.let { effects += it }
    }

    /** The connection to an agent ended; its unused credits end with it. */
    fun agentDisconnected(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        agents.disconnected(agent, nowMillis)
        dispatchers.agentLost(agent)
    }

    /** More tasks may be started on [agent]. */
    fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) = dispatchers.creditsGranted(agent, count)

    /** The agent wants unused credits back. */
    fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ) {
        effects += HomeEffect.ReturnCredits(agent, dispatchers.creditsRecalled(agent, count))
    }

    /** A task ended at its agent; repeated reports are acknowledged and otherwise ignored. */
    fun taskFinished(
        agent: ProcessId,
        task: TaskId,
        outcome: TaskOutcome,
        runMillis: Long,
        nowMillis: Long,
    ) {
        effects += HomeEffect.AcknowledgeTask(agent, task)
        val known = jobs[task.job] ?: return
        val progress = known.progress(task.index)
        if (progress !is TaskProgress.Placed || progress.agent != agent) return
        agents.removed(agent, task)
        dispatchers.taskEnded(known.job.service, task, agent, runMillis, outcome is TaskOutcome.Succeeded, nowMillis)
        when (outcome) {
            is TaskOutcome.Succeeded -> answered(known, task, outcome.answer, nowMillis)
            is TaskOutcome.Ended -> failed(known, task, outcome.verdict, nowMillis)
        }
    }

    /** An attempt has not started and never will: the task is queued again unless its job has ended. */
    fun attemptNeverStarts(
        agent: ProcessId,
        attempt: TaskAttempt,
        nowMillis: Long,
    ) {
        val known = jobs[attempt.task.job] ?: return
        val progress = known.progress(attempt.task.index)
        if (progress != TaskProgress.Placed(agent, attempt.attempt)) return
        agents.removed(agent, attempt.task)
        known.unplace(attempt.task.index)
        dispatchers.taskReturned(known.job.service, attempt.task, nowMillis)
        jobs.forgetIfSettled(known)
    }

    /** Ends overdue jobs, gives up agents that stayed away, and forgets outcomes past their retention. */
    fun tick(nowMillis: Long) {
        agents.awayLongerThan(limits.agentGraceMillis, nowMillis).forEach { agentGone(it, nowMillis) }
        jobs.takeOverdue(nowMillis).forEach { overdue ->
            end(overdue, HomeVerdicts.cutShort(overdue, Reason.DEADLINE, "The deadline has passed."), nowMillis)
        }
        jobs.expire(nowMillis)
        effects += dispatchers.tickCreditRequests()
    }

    /** Jobs that have not ended, in order of arrival. */
    fun liveJobIds(): List<JobId> = jobs.liveIds()

    private fun claim(
        job: Job,
        remainingMillis: Long,
        nowMillis: Long,
    ): Submission {
        val claimed = HomeJob(job, nowMillis + remainingMillis)
        jobs.add(claimed)
        return when (val admission = admit(claimed, nowMillis)) {
            is Admission.Admitted -> Submission.Waiting
            is Admission.Refused -> refuse(claimed, admission.verdict, nowMillis)
        }
    }

    private fun admit(
        claimed: HomeJob,
        nowMillis: Long,
    ): Admission =
        if (claiming) {
            dispatchers.submit(claimed.job, claimed.deadlineAtMillis, nowMillis)
        } else {
            Admission.Refused(HomeVerdicts.draining())
        }

    /** A refusal stands for the id, so that a delayed duplicate of the refused submission never runs. */
    private fun refuse(
        claimed: HomeJob,
        verdict: Verdict.NotRun,
        nowMillis: Long,
    ): Submission {
        val outcome = JobOutcome.WithoutAnswer(verdict)
        jobs.end(claimed, outcome, nowMillis)
        effects += HomeEffect.JobEnded(claimed.job.id, claimed.job.team, outcome)
        return Submission.Ended(outcome)
    }

    private fun agentGone(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        val verdict = HomeVerdicts.agentLost(agent)
        dispatchers.agentLost(agent)
        for (task in agents.forget(agent)) {
            val known = jobs[task.job] ?: continue
            if (known.outcome == null) end(known, JobOutcome.WithoutAnswer(verdict), nowMillis)
            dispatchers.taskEnded(known.job.service, task, agent, null, succeeded = false, nowMillis)
            known.unplace(task.index)
            jobs.forgetIfSettled(known)
        }
    }

    private fun answered(
        known: HomeJob,
        task: TaskId,
        answer: String,
        nowMillis: Long,
    ) {
        known.answer(task.index, answer)
        val answers = known.answers()
        if (known.outcome == null && answers != null) end(known, JobOutcome.Complete(answers), nowMillis)
        jobs.forgetIfSettled(known)
    }

    private fun failed(
        known: HomeJob,
        task: TaskId,
        verdict: Verdict,
        nowMillis: Long,
    ) {
        if (known.outcome == null) end(known, JobOutcome.WithoutAnswer(HomeVerdicts.ranAndFailed(verdict)), nowMillis)
        known.unplace(task.index)
        jobs.forgetIfSettled(known)
    }

    private fun end(
        known: HomeJob,
        outcome: JobOutcome,
        nowMillis: Long,
    ) {
        dispatchers.withdraw(known.job.service, known.job.id)
        known.placedTasks.forEach { (task, placed) -> effects += HomeEffect.CancelTask(placed.agent, task) }
        jobs.end(known, outcome, nowMillis)
        effects += HomeEffect.JobEnded(known.job.id, known.job.team, outcome)
    }
}

/** Answer of a [Home] to a submission. */
sealed interface Submission {
    /** The job has not ended; [HomeEffect.JobEnded] will tell. */
    data object Waiting : Submission

    /** The job ended, now or before. */
    data class Ended(
        val outcome: JobOutcome,
    ) : Submission
}

/** How far a job is. */
enum class JobProgress { QUEUED, RUNNING, COMPLETE, WITHOUT_ANSWER }
