package io.egretlock.bench.simulation

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId

/**
 * Properties of a worker of the bench.
 *
 * @property speed factor by which run times are divided.
 */
data class WorkerTraits(
    val name: String,
    val failureDomain: FailureDomain,
    val slots: Int,
    val speed: Double,
)

/** Change of the speed or the health of one worker during a run. */
data class WorkerChange(
    val atMillis: Double,
    val worker: String,
    val speed: Double,
    val fails: Boolean,
)

/** An agent with its upstream, which runs one task per slot and queues the rest locally. */
internal class SimulatedAgent(
    val traits: WorkerTraits,
    private val events: EventQueue,
    private val onTaskEnded: (SimulatedTask) -> Unit,
) {
    val id = ProcessId(traits.name, 1)
    var speed = traits.speed
    var fails = false
    private val queue = ArrayDeque<SimulatedTask>()
    private var running = 0

    /** Number of tasks that were sent to this agent and have not arrived. */
    var inTransit = 0

    /** Number of tasks that are running, queued or in transit. */
    val backlog: Int
        get() = inTransit + running + queue.size

    /** Starts a task, or queues it until a slot is free. */
    fun receive(task: SimulatedTask) {
        queue += task
        startNext()
    }

    private fun startNext() {
        while (running < traits.slots) {
            val task = queue.removeFirstOrNull() ?: return
            running++
            task.worker = traits.name
            task.succeeded = !fails
            task.runMillis = if (fails) FAILURE_MILLIS else task.work.runMillis / speed
            events.at(events.nowMillis + task.runMillis) { end(task) }
        }
    }

    private fun end(task: SimulatedTask) {
        running--
        task.endedAtMillis = events.nowMillis
        onTaskEnded(task)
        startNext()
    }

    private companion object {
        const val FAILURE_MILLIS = 1.0
    }
}
