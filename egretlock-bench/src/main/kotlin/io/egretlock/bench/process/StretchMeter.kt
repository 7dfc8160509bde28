package io.egretlock.bench.process

import io.egretlock.bench.scenario.Fleet
import io.egretlock.testing.system.TestSystem

/**
 * Computes the stretch of jobs: their response time relative to the run times on the workers that ran the tasks. Reads
 * the starts at construction, so it must be created after all tasks have started.
 */
internal class StretchMeter(
    system: TestSystem,
) {
    private val speeds = Fleet.WORKERS.associate { it.name to it.speed }
    private val speedByTask =
        system.agents
            .flatMap { agent -> agent.upstream.starts.map { it.task to speeds.getValue(agent.name) } }
            .toMap()

    /** Response time of a completely answered job since its intended send time, relative to its longest task run. */
    fun stretch(job: SentJob): Double {
        val runs =
            job.work.tasks.mapIndexed { index, task -> task.runMillis / speedByTask.getValue("${job.id}:$index") }
        return job.responseMillis / runs.max()
    }
}
