package io.egretlock.core.run

/** Records the work of arriving jobs by queue. */
internal class QueueDemand(
    private val runTimes: QueueRunTimes,
    private val reserve: RoomReserve,
) {
    private val sizes = QueueSizes()

    /** Records the arrival of a job for the reserve and returns its work relative to the mean of its queue. */
    fun record(
        job: StepJob,
        queue: JobQueue,
        nowMillis: Long,
    ): Double {
        var work = 0.0
        var longest = 0.0
        for (step in job.steps) {
            val taskMillis = runTimes.expectedMillis(queue.name, step.estimatedRunMillis)
            work += step.taskCount * step.room.cpuMillicores * taskMillis
            longest = maxOf(longest, taskMillis)
        }
        reserve.arrived(queue.name, work, longest, nowMillis)
        return sizes.relativeSize(queue.name, work)
    }

    /** Removes the records of all queues except [names]. */
    fun retain(names: Set<String>) = sizes.retain(names)
}
