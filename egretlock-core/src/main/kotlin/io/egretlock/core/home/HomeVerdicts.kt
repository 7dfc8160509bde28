package io.egretlock.core.home

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/** Verdicts that a [Home] gives. */
internal object HomeVerdicts {
    private const val DRAINING_RETRY_MILLIS = 1_000L

    /** Verdict on a job with a task placed on an agent that is presumed lost. */
    fun agentLost(agent: ProcessId) =
        Verdict.MayHaveRun(Reason.AGENT_LOST, "Agent '$agent' was lost while it held a task of the job.")

    /** Verdict on a new job at an entry that is draining. */
    fun draining() = Verdict.NotRun(Reason.DRAINING, "The home of the job is draining.", DRAINING_RETRY_MILLIS)

    /** Verdict on a submission whose id was submitted before with another body. */
    fun conflict(job: Job) =
        Verdict.NotRun(Reason.CONFLICTING_BODY, "Job '${job.id}' was submitted before with another body.")

    /** Outcome of a job that ends before its answers are complete. */
    fun endedEarly(
        homeJob: HomeJob,
        reason: Reason,
        detail: String,
    ): JobOutcome =
        JobOutcome.WithoutAnswer(
            if (homeJob.mayHaveStarted) Verdict.MayHaveRun(reason, detail) else Verdict.NotRun(reason, detail),
        )

    /** Verdict on a task that an agent reports as ended. It was started, so that [Verdict.NotRun] is ruled out. */
    fun afterStart(verdict: Verdict): Verdict =
        if (verdict is Verdict.NotRun) Verdict.MayHaveRun(verdict.reason, verdict.detail) else verdict
}
