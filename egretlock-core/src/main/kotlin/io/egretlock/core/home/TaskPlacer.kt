package io.egretlock.core.home

import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.Placement

/** Creates attempts for the placements of the dispatchers, and reconciles them when an agent reconnects. */
internal class TaskPlacer(
    private val jobs: HomeJobs,
    private val agents: HomeAgents,
    private val dispatchers: ServiceDispatchers,
) {
    /** Returns a start for each task that the dispatchers place now. */
    fun startTasks(nowMillis: Long): List<HomeEffect.StartTask> =
        dispatchers.placements(nowMillis).map { start(it, nowMillis) }

    /** Returns the reconciliation of all attempts placed on [agent], or null if there are none. */
    fun reconciliation(agent: ProcessId): HomeEffect.ReconcileTasks? =
        agents
            .tasksOn(agent)
            .mapNotNull { attemptOn(agent, it) }
            .takeIf { it.isNotEmpty() }
            ?.let { HomeEffect.ReconcileTasks(agent, it) }

    private fun start(
        placement: Placement,
        nowMillis: Long,
    ): HomeEffect.StartTask {
        val (task, agent) = placement
        val homeJob = checkNotNull(jobs[task.job]) { "Task '$task' was placed, but its job is unknown." }
        val attempt = homeJob.recordPlacement(task.index, agent)
        agents.addTask(agent, task)
        return HomeEffect.StartTask(
            agent = agent,
            attempt = TaskAttempt(task, attempt),
            team = homeJob.job.team,
            specification = homeJob.job.tasks[task.index],
            remainingMillis = homeJob.deadlineAtMillis - nowMillis,
        )
    }

    private fun attemptOn(
        agent: ProcessId,
        task: TaskId,
    ): TaskAttempt? =
        (jobs[task.job]?.progress(task.index) as? TaskProgress.Placed)
            ?.takeIf { it.agent == agent }
            ?.let { TaskAttempt(task, it.attempt) }
}
