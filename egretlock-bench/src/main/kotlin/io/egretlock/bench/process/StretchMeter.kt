package io.egretlock.bench.process

import io.egretlock.bench.scenario.Fleet
import io.egretlock.testing.system.TestSystem

/** Relates response times to the run times on the workers that ran the tasks; made when all tasks have started. */
internal class StretchMeter(
    system: TestSystem,
) {
    private val speeds = Fleet.WORKERS.associate { it.name to it.speed }
    private val speedByTask =
        system.agents
            .flatMap { agent -> agent.upstream.starts.map { it.task to speeds.getValue(agent.name) } }
            .toMap()

    /** Time from the intended send time of a job that was answered whole, relative to its longest run. */
    fun stretch(job: SentJob): Double {
        val runs =
            job.work.tasks.mapIndexed { index, task -> task.runMillis / speedByTask.getValue("${job.id}:$index") }
        return job.responseMillis / runs.max()
    }
}
