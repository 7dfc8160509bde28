package io.egretlock.bench.simulation

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId

/**
 * A worker as the bench sets it up.
 *
 * @property speed factor by which run times are divided.
 */
data class WorkerTraits(
    val name: String,
    val failureDomain: FailureDomain,
    val slots: Int,
    val speed: Double,
)

/** A change of one worker during a run. */
data class WorkerChange(
    val atMillis: Double,
    val worker: String,
    val speed: Double,
    val fails: Boolean,
)

/** An agent with its upstream: runs up to its slots at once and queues the rest locally. */
internal class SimulatedAgent(
    val traits: WorkerTraits,
    private val events: EventQueue,
    private val ended: (SimulatedTask) -> Unit,
) {
    val id = ProcessId(traits.name, 1)
    var speed = traits.speed
    var fails = false
    private val queue = ArrayDeque<SimulatedTask>()
    private var running = 0

    /** Tasks on their way here. */
    var approaching = 0

    /** Tasks that run or wait here or are on their way. */
    val backlog: Int
        get() = approaching + running + queue.size

    /** Starts a task, or queues it while no slot is free. */
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
        ended(task)
        startNext()
    }

    private companion object {
        const val FAILURE_MILLIS = 1.0
    }
}
