package io.egretlock.core.home

import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.Placement

/** Turns the placements of the dispatchers into attempts, and asks what became of them after a reconnection. */
internal class TaskPlacer(
    private val jobs: HomeJobs,
    private val agents: HomeAgents,
    private val dispatchers: ServiceDispatchers,
) {
    /** Starts of all tasks that the dispatchers place now. */
    fun startTasks(nowMillis: Long): List<HomeEffect.StartTask> =
        dispatchers.placements(nowMillis).map { start(it, nowMillis) }

    /** The question for the attempts that [agent] should have; null if there are none. */
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
        val known = checkNotNull(jobs[task.job]) { "Task '$task' was placed, but its job is not known." }
        val attempt = known.place(task.index, agent)
        agents.placed(agent, task)
        return HomeEffect.StartTask(
            agent = agent,
            attempt = TaskAttempt(task, attempt),
            team = known.job.team,
            specification = known.job.tasks[task.index],
            remainingMillis = known.deadlineAtMillis - nowMillis,
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
