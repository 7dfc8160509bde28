package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/** Runs of jobs that an entry has answered or given up, as long as they may still be active. */
internal class EndingRuns {
    private val jobs = LinkedHashMap<JobId, EndingJob>()

    /** Whether runs of [job] may still be active. */
    operator fun contains(job: JobId): Boolean = job in jobs

    /** Whether [job] has runs at agents that are connected. */
    fun hasActiveRuns(job: JobId): Boolean = jobs[job]?.runs?.isNotEmpty() ?: false

    /** Adds the runs of [active], which has ended. */
    fun add(
        active: ActiveJob,
        nowMillis: Long,
    ) {
        val runs = active.tasks.mapNotNull { task -> task.agent?.let { task.run to it } }
        val endedAtMillis = active.tasks.filter { it.isWaiting }.maxOfOrNull { it.notBeforeMillis } ?: nowMillis
        if (runs.isEmpty() && endedAtMillis <= nowMillis) return
        jobs[active.job.id] = EndingJob(runs.toMap(HashMap()), endedAtMillis)
    }

    /** Records the end of a run. */
    fun onRunEnded(run: RunId) {
        jobs[run.task.job]?.runs?.remove(run)
    }

    /** Records that the connection to [agent] was lost, and that its runs are over at [endedAtMillis] at the latest. */
    fun onAgentLost(
        agent: ProcessId,
        endedAtMillis: Long,
    ) {
        for (job in jobs.values) {
            if (job.runs.values.removeIf { it == agent }) job.endedAtMillis = maxOf(job.endedAtMillis, endedAtMillis)
        }
    }

    /** Removes and returns the jobs without runs that may be active. */
    fun removeEnded(nowMillis: Long): List<JobId> {
        if (jobs.isEmpty()) return emptyList()
        val ended = jobs.filterValues { it.runs.isEmpty() && it.endedAtMillis <= nowMillis }.keys.toList()
        jobs -= ended.toSet()
        return ended
    }

    private class EndingJob(
        val runs: HashMap<RunId, ProcessId>,
        var endedAtMillis: Long,
    )
}
