package io.egretlock.core.placement

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.StoredTeamSettings

/** Baseline [Dispatcher] for comparisons: tasks start in order of arrival, each on the agent with the most credits. */
class FirstInFirstOutDispatcher : Dispatcher {
    private val queue = ArrayDeque<TaskId>()
    private val deadlines = mutableMapOf<JobId, Long>()
    private val credits = linkedMapOf<ProcessId, Int>()

    override fun applySettings(settings: StoredTeamSettings) = Unit

    override fun agentChanged(view: AgentView) {
        credits.putIfAbsent(view.agent, 0)
    }

    override fun agentLost(agent: ProcessId) {
        credits.remove(agent)
    }

    override fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) {
        credits.merge(agent, count, Int::plus)
    }

    override fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ): Int {
        val returned = minOf(count, credits[agent] ?: 0)
        credits.computeIfPresent(agent) { _, held -> held - returned }
        return returned
    }

    override fun submit(
        job: Job,
        deadlineAtMillis: Long,
        nowMillis: Long,
    ): Admission {
        if (credits.isEmpty()) return noUpstream(job)
        queue += job.taskIds
        deadlines[job.id] = deadlineAtMillis
        return Admission.Admitted
    }

    override fun placements(nowMillis: Long): List<Placement> {
        val placements = mutableListOf<Placement>()
        while (hasCredit()) {
            val task = nextTask() ?: break
            placements += Placement(task, spendCredit())
        }
        return placements
    }

    override fun taskEnded(
        task: TaskId,
        agent: ProcessId,
        runMillis: Long?,
        succeeded: Boolean,
        nowMillis: Long,
    ) = Unit

    override fun taskRequeued(
        task: TaskId,
        nowMillis: Long,
    ) {
        queue.addFirst(task)
    }

    override fun withdraw(job: JobId) {
        deadlines.remove(job)
    }

    override fun overdueJobs(nowMillis: Long): List<JobId> = deadlines.filterValues { it <= nowMillis }.keys.toList()

    override fun creditsWanted(): Int = queue.size

    private fun hasCredit(): Boolean = credits.values.any { it > 0 }

    private fun spendCredit(): ProcessId {
        val (agent, held) = credits.entries.maxBy { it.value }
        credits[agent] = held - 1
        return agent
    }

    private fun nextTask(): TaskId? {
        while (queue.isNotEmpty()) {
            val task = queue.removeFirst()
            if (task.job in deadlines) return task
        }
        return null
    }

    private fun noUpstream(job: Job) =
        Admission.Refused(
            Verdict.NotRun(Reason.NO_UPSTREAM, "No upstream announces service '${job.service}'.", RETRY_AFTER_MILLIS),
        )

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
