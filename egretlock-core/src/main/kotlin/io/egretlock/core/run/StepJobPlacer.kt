package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/** Places waiting tasks on agents, in one pass over the waiting jobs in the order of [StepJobPolicies.order]. */
internal class StepJobPlacer(
    private val rooms: AgentRooms,
    private val runTimes: QueueRunTimes,
    private val policies: StepJobPolicies,
    private val ownership: JobOwnership,
) {
    /** Orders runs of as many ready tasks of [jobs] as there is room for, if [mayPlace] allows runs of the job. */
    fun place(
        jobs: Collection<ActiveJob>,
        nowMillis: Long,
        mayPlace: (JobId) -> Boolean,
    ): List<StepJobEffect.Start> {
        val waiting = jobs.filter { it.isWaiting && mayPlace(it.job.id) }
        if (waiting.isEmpty()) return emptyList()
        val orders = LinkedHashMap<Pair<JobId, ProcessId>, PendingOrder>()
        val inUse = inUse(jobs)
        for (job in policies.order.sorted(waiting, { latestStart(it) }, nowMillis)) {
            val available = rooms.available(job.queue.service, nowMillis)
            if (available.isEmpty()) continue
            placeJob(job, available, inUse, nowMillis, orders)
        }
        return orders.map { (key, order) -> startEffect(jobs, key.first, key.second, order, nowMillis) }
    }

    /** Returns the time by which a job must start to meet its latency objective on the fastest upstream. */
    fun latestStart(job: ActiveJob): Double {
        val fastestSpeed = rooms.fastestSpeed(job.queue.service)
        val longestTaskMillis = job.job.steps.maxOfOrNull { expectedMillis(job, it) } ?: 0.0
        return job.objectiveAtMillis - longestTaskMillis / fastestSpeed - ROUND_TRIP_MILLIS
    }

    /** Returns the expected run time, in milliseconds, of one task of [step] at speed 1. */
    fun expectedMillis(
        job: ActiveJob,
        step: JobStep,
    ): Double = runTimes.expectedMillis(job.queue.name, step.estimatedRunMillis)

    private fun inUse(jobs: Collection<ActiveJob>): MutableMap<String, Long> {
        val inUse = HashMap<String, Long>()
        for (job in jobs) {
            val runningMillicores = job.tasks.filter { it.agent != null }.sumOf { it.step.room.cpuMillicores }
            inUse.merge(job.queue.name, runningMillicores, Long::plus)
        }
        return inUse
    }

    private fun placeJob(
        job: ActiveJob,
        available: List<AgentRoom>,
        inUse: MutableMap<String, Long>,
        nowMillis: Long,
        orders: MutableMap<Pair<JobId, ProcessId>, PendingOrder>,
    ) {
        val fastestSpeed = available.maxOf { it.report.speed }
        val queue = job.queue.name
        val reservedMillicores = policies.reserve.reservedFor(queue, inUse, nowMillis)
        for (task in job.readyTasks().filter { it.notBeforeMillis <= nowMillis }) {
            if (reservedMillicores > 0 &&
                available.sumOf { it.free.cpuMillicores } < reservedMillicores + task.step.room.cpuMillicores
            ) {
                return
            }
            val expectedMillis = expectedMillis(job, task.step)
            val demand =
                TaskDemand(task.step.room, expectedMillis, job.objectiveAtMillis - ROUND_TRIP_MILLIS - nowMillis)
            val candidates = available.filter { it.free.canHold(demand.room) && it.agent !in task.failedOn }
            policies.choice.choose(demand, candidates, fastestSpeed)?.let { chosen ->
                chosen.reserve(demand.room)
                rooms.useProbe(chosen.agent)
                val order = orders.getOrPut(job.job.id to chosen.agent) { PendingOrder(rooms.nextOrderSequence()) }
                task.recordOrder(chosen.agent, order.sequence, nowMillis)
                job.hasStarted = true
                inUse.merge(queue, demand.room.cpuMillicores, Long::plus)
                order.runs += OrderedRun(task.id.step, task.id.index, task.runNumber, demand.room, expectedMillis)
            }
        }
    }

    private fun startEffect(
        jobs: Collection<ActiveJob>,
        job: JobId,
        agent: ProcessId,
        order: PendingOrder,
        nowMillis: Long,
    ): StepJobEffect.Start {
        val room = checkNotNull(rooms[agent]) { "Chosen agent $agent is not connected." }
        room.recordSent(order.sequence, order.runs.fold(Room.NONE) { sum, run -> sum + run.room })
        val active = jobs.first { it.job.id == job }
        val confirmWithinMillis = ownership.confirmWithinMillis(job, nowMillis)
        active.tasks
            .filter { it.orderSequence == order.sequence }
            .forEach { it.needsConfirmation = confirmWithinMillis != null }
        val runs = RunOrder(order.sequence, job, active.job.specification, order.runs, confirmWithinMillis)
        return StepJobEffect.Start(agent, runs)
    }

    /** Runs of one job that are to be ordered from one agent. */
    private class PendingOrder(
        val sequence: Long,
    ) {
        val runs = mutableListOf<OrderedRun>()
    }

    companion object {
        /** Time, in milliseconds, for the calls between caller, entry, agent and upstream in both directions. */
        const val ROUND_TRIP_MILLIS = 12.0
    }
}
