package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.StoredTeamSettings

/**
 * Decides at a home entry which jobs of one service are admitted, in which order their tasks start, and on which agent.
 *
 * Implementations do no I/O and read no clock: every call passes `nowMillis`, a monotonic time in milliseconds. They
 * are confined to the task that owns the entry's jobs and need not be safe for concurrent use.
 */
interface Dispatcher {
    /** Applies the settings of one team, also to queued work. A lower revision than the one in force is ignored. */
    fun applySettings(settings: StoredTeamSettings)

    /** Applies this entry's share of all limits, also to queued work. */
    fun entriesChanged(share: EntryShare) = Unit

    /** Makes an agent available, or updates what it announced. */
    fun agentChanged(view: AgentView)

    /** Forgets an agent and its credits. The caller reports the end or return of each task that was placed on it. */
    fun agentLost(agent: ProcessId)

    /** Adds [count] credits: permissions to start one task each on [agent]. */
    fun creditsGranted(
        agent: ProcessId,
        count: Int,
    )

    /** Gives up to [count] unused credits of [agent] back and returns how many. */
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

    /** Takes the tasks that start now from the queue and spends one credit for each. */
    fun placements(nowMillis: Long): List<Placement>

    /** Records how a placed task ended. [runMillis] is null where the run time is unknown. */
    fun taskEnded(
        task: TaskId,
        agent: ProcessId,
        runMillis: Long?,
        succeeded: Boolean,
        nowMillis: Long,
    )

    /**
     * Queues a placed task again, at the head, after its agent confirmed that it never started there. A task of a job
     * that was withdrawn is forgotten instead.
     */
    fun taskReturned(
        task: TaskId,
        nowMillis: Long,
    )

    /** Drops the tasks of [job] that still wait. Costs O(1) and sends nothing. */
    fun withdraw(job: JobId)

    /** Jobs, with at least one task still waiting, whose deadline has passed. The caller ends and withdraws them. */
    fun overdue(nowMillis: Long): List<JobId>

    /** How many more credits the queue could use now. */
    fun creditsWanted(): Int
}

/** Answer of a [Dispatcher] to a job. */
sealed interface Admission {
    /** The job is queued. */
    data object Admitted : Admission

    /** The job is not queued and none of it will run. */
    data class Refused(
        val verdict: Verdict.NotRun,
    ) : Admission
}

/** One task that starts now on [agent]. */
data class Placement(
    val task: TaskId,
    val agent: ProcessId,
)
