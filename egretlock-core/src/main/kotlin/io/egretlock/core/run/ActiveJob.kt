package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/**
 * A job that a [StepJobScheduler] has accepted and not yet answered.
 *
 * @property objectiveAtMillis time of the latency objective, by which the job should be answered.
 * @property giveUpAtMillis time after which the caller no longer waits for the answer.
 * @property relativeSize work of the job divided by the mean work of its queue's recent jobs.
 */
class ActiveJob internal constructor(
    val job: StepJob,
    val queue: JobQueue,
    val arrivedAtMillis: Long,
    val objectiveAtMillis: Double,
    val giveUpAtMillis: Long,
    val relativeSize: Double = 1.0,
) {
    internal val tasks: List<ActiveTask> =
        job.steps.flatMapIndexed { step, description ->
            List(description.taskCount) { index -> ActiveTask(StepTask(job.id, step, index), description) }
        }

    /** Whether any run of the job was ordered. */
    var hasStarted: Boolean = false
        internal set

    internal val hasActiveRuns: Boolean
        get() = tasks.any { it.agent != null }

    internal val isWaiting: Boolean
        get() = tasks.any { it.isWaiting }

    /**
     * Returns the tasks that may run now: no run of them is ordered and the steps that they depend on have succeeded.
     */
    internal fun readyTasks(): List<ActiveTask> = tasks.filter { it.isWaiting && hasSucceededStepsBefore(it) }

    internal fun hasSucceeded(): Boolean = tasks.all { it.hasSucceeded }

    internal fun task(id: StepTask): ActiveTask? = tasks.firstOrNull { it.id == id }

    private fun hasSucceededStepsBefore(task: ActiveTask): Boolean =
        task.step.after.all { step -> tasks.all { it.id.step != step || it.hasSucceeded } }
}

/** A task of a [ActiveJob] and its latest run. */
internal class ActiveTask(
    val id: StepTask,
    val step: JobStep,
) {
    var agent: ProcessId? = null
    var runNumber = 0
    var nextRunNumber = 1
    var failures = 0
    var hasSucceeded = false
    var orderSequence = 0L
    var orderedAtMillis = 0L
    var notBeforeMillis = 0L
    var lostAgent: ProcessId? = null
    val failedOn = HashSet<ProcessId>()

    /** Whether the latest run was stopped although the job goes on. */
    var isStopRequested = false

    val isWaiting: Boolean
        get() = agent == null && !hasSucceeded

    /** Whether the agent stops the latest run unless it is confirmed. */
    var needsConfirmation = false

    /** Whether runs at a lost agent may still be active at [nowMillis]. */
    fun isLostAt(nowMillis: Long): Boolean = isWaiting && nowMillis < notBeforeMillis

    val run: RunId
        get() = RunId(id, runNumber)

    /** Records that a run with the next run number was ordered from [orderedFrom] by the order number [sequence]. */
    fun recordOrder(
        orderedFrom: ProcessId,
        sequence: Long,
        nowMillis: Long,
    ) {
        agent = orderedFrom
        runNumber = nextRunNumber++
        orderSequence = sequence
        orderedAtMillis = nowMillis
        isStopRequested = false
    }
}
