package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/**
 * A job that a [StepJobHome] has accepted and not yet answered.
 *
 * @property objectiveAtMillis time by which the job should be answered.
 * @property giveUpAtMillis time after which nobody waits for the answer.
 * @property relativeSize work of the job against the mean of its queue's recent jobs.
 */
class HeldJob internal constructor(
    val job: StepJob,
    val queue: JobQueue,
    val arrivedAtMillis: Long,
    val objectiveAtMillis: Double,
    val giveUpAtMillis: Long,
    val relativeSize: Double = 1.0,
) {
    internal val tasks: List<HeldTask> =
        job.steps.flatMapIndexed { step, description ->
            List(description.taskCount) { index -> HeldTask(StepTask(job.id, step, index), description) }
        }

    /** Whether any run was ordered. */
    var hasStarted: Boolean = false
        internal set

    internal val isWaiting: Boolean
        get() = tasks.any { it.isWaiting }

    /** Tasks that may run now: none of theirs is ordered, and the steps before theirs have succeeded. */
    internal fun readyTasks(): List<HeldTask> = tasks.filter { it.isWaiting && stepsBeforeSucceeded(it) }

    internal fun hasSucceeded(): Boolean = tasks.all { it.hasSucceeded }

    internal fun task(id: StepTask): HeldTask? = tasks.firstOrNull { it.id == id }

    private fun stepsBeforeSucceeded(task: HeldTask): Boolean =
        task.step.after.all { step -> tasks.all { it.id.step != step || it.hasSucceeded } }
}

/** One task of a [HeldJob] with its latest run. */
internal class HeldTask(
    val id: StepTask,
    val step: JobStep,
) {
    var agent: ProcessId? = null
    var number = 0
    var nextNumber = 1
    var failures = 0
    var hasSucceeded = false
    var notBeforeMillis = 0L
    var lostWith: ProcessId? = null
    val failedOn = HashSet<ProcessId>()

    val isWaiting: Boolean
        get() = agent == null && !hasSucceeded

    val run: RunId
        get() = RunId(id, number)

    /** Notes that a run with the next number was ordered from [chosen]. */
    fun ordered(chosen: ProcessId) {
        agent = chosen
        number = nextNumber++
    }
}
