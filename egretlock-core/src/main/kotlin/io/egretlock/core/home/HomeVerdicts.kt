package io.egretlock.core.home

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict

/** The verdicts that a [Home] gives by itself. */
internal object HomeVerdicts {
    private const val DRAINING_RETRY_MILLIS = 1_000L

    /** The agent that held a task of the job will not be heard of again. */
    fun agentLost(agent: ProcessId) =
        Verdict.MayHaveRun(Reason.AGENT_LOST, "Agent '$agent' was lost while it held a task of the job.")

    /** This entry is about to stop. */
    fun draining() = Verdict.NotRun(Reason.DRAINING, "The home of the job is draining.", DRAINING_RETRY_MILLIS)

    /** The same id came with another body. */
    fun conflict(job: Job) =
        Verdict.NotRun(Reason.CONFLICTING_BODY, "Job '${job.id}' was submitted before with another body.")

    /** The job is ended before its answers are complete. */
    fun cutShort(
        known: HomeJob,
        reason: Reason,
        detail: String,
    ): JobOutcome =
        JobOutcome.WithoutAnswer(
            if (known.mayHaveStarted) Verdict.MayHaveRun(reason, detail) else Verdict.NotRun(reason, detail),
        )

    /** A task that an agent reports as ended was started, so that no verdict on it may claim the contrary. */
    fun ranAndFailed(verdict: Verdict): Verdict =
        if (verdict is Verdict.NotRun) Verdict.MayHaveRun(verdict.reason, verdict.detail) else verdict
}
