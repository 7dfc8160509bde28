package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.StoredTeamSettings

/**
 * Decides at the home entry of jobs which jobs of one service are admitted, in which order their tasks start, and on
 * which agent.
 *
 * Implementations do no I/O and read no clock: the caller passes `nowMillis`, a monotonic time in milliseconds. They
 * are confined to the single owner of the entry's jobs and need not be thread-safe.
 */
interface Dispatcher {
    /** Applies the settings of one team, also to queued tasks. A revision lower than the current one is ignored. */
    fun applySettings(settings: StoredTeamSettings)

    /** Applies this entry's share of all limits, also to queued tasks. */
    fun entryShareChanged(share: EntryShare) = Unit

    /** Adds an agent, or updates its view. */
    fun agentChanged(view: AgentView)

    /** Removes an agent and its credits. The caller reports the end or return of each task that was placed on it. */
    fun agentLost(agent: ProcessId)

    /** Adds [count] credits: permissions to start one task each on [agent]. */
    fun creditsGranted(
        agent: ProcessId,
        count: Int,
    )

    /** Takes up to [count] unused credits of [agent] back and returns how many. */
    fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ): Int

    /** Admits a whole job, which must be complete by [deadlineAtMillis], or refuses it. */
    fun submit(
        job: Job,
        deadlineAtMillis: Long,
        nowMillis: Long,
    ): Admission

    /** Removes the tasks that start now from the queue and spends one credit for each. */
    fun placements(nowMillis: Long): List<Placement>

    /** Records the end of a placed task. [runMillis] is null if the run time is unknown. */
    fun taskEnded(
        task: TaskId,
        agent: ProcessId,
        runMillis: Long?,
        succeeded: Boolean,
        nowMillis: Long,
    )

    /**
     * Puts a placed task back at the head of the queue after its agent has confirmed that the task never started there.
     * A task of a withdrawn job is dropped instead.
     */
    fun taskRequeued(
        task: TaskId,
        nowMillis: Long,
    )

    /** Drops the waiting tasks of [job]. Takes O(1) time and sends nothing. */
    fun withdraw(job: JobId)

    /** Returns the jobs with a waiting task whose deadline has passed. The caller ends and withdraws them. */
    fun overdueJobs(nowMillis: Long): List<JobId>

    /** Returns how many more credits the queue could use now. */
    fun creditsWanted(): Int
}

/** Decision of a [Dispatcher] on a submitted job. */
sealed interface Admission {
    /** The job is queued. */
    data object Admitted : Admission

    /** The job is not queued, and none of its tasks will run. */
    data class Refused(
        val verdict: Verdict.NotRun,
    ) : Admission
}

/** Assignment of a task that starts now to [agent]. */
data class Placement(
    val task: TaskId,
    val agent: ProcessId,
)
