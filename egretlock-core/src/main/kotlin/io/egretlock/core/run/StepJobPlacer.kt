package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/** Gives room to waiting tasks: one pass over the waiting jobs in the order of the policies. */
internal class StepJobPlacer(
    private val rooms: AgentRooms,
    private val runTimes: QueueRunTimes,
    private val policies: StepJobPolicies,
) {
    /** Orders runs for as many ready tasks of [jobs] as find room. */
    fun place(
        jobs: Collection<HeldJob>,
        nowMillis: Long,
    ): List<StepJobEffect.Start> {
        val waiting = jobs.filter { it.isWaiting }
        if (waiting.isEmpty()) return emptyList()
        val orders = LinkedHashMap<Pair<JobId, ProcessId>, MutableList<OrderedRun>>()
        val inUse = inUse(jobs)
        for (job in policies.order.sorted(waiting, { latestStart(it) }, nowMillis)) {
            val available = rooms.available(job.queue.service, nowMillis)
            if (available.isEmpty()) continue
            placeJob(job, available, inUse, nowMillis, orders)
        }
        return orders.map { (key, runs) -> order(jobs, key.first, key.second, runs) }
    }

    /** Time by which a job must have begun to meet its objective on the fastest upstream. */
    fun latestStart(job: HeldJob): Double {
        val fastest = fastestSpeed(job)
        val chain = job.job.steps.maxOfOrNull { expectedMillis(job, it) } ?: 0.0
        return job.objectiveAtMillis - chain / fastest - CALL_MILLIS
    }

    /** Expected run time of one task of [step] at speed 1. */
    fun expectedMillis(
        job: HeldJob,
        step: JobStep,
    ): Double = runTimes.expectedMillis(job.queue.name, step.estimatedRunMillis)

    private fun inUse(jobs: Collection<HeldJob>): MutableMap<String, Long> {
        val inUse = HashMap<String, Long>()
        for (job in jobs) {
            val running = job.tasks.filter { it.agent != null }.sumOf { it.step.room.cpuMillicores }
            inUse.merge(job.queue.name, running, Long::plus)
        }
        return inUse
    }

    private fun fastestSpeed(job: HeldJob): Double =
        rooms.all
            .filter { it.report.service == job.queue.service && it.report.accepting }
            .maxOfOrNull { it.report.speed } ?: 1.0

    private fun placeJob(
        job: HeldJob,
        available: List<AgentRoom>,
        inUse: MutableMap<String, Long>,
        nowMillis: Long,
        orders: MutableMap<Pair<JobId, ProcessId>, MutableList<OrderedRun>>,
    ) {
        val fastest = available.maxOf { it.report.speed }
        val queue = job.queue.name
        val reserved = policies.reserve.reservedFor(queue, inUse, nowMillis)
        for (task in job.readyTasks().filter { it.notBeforeMillis <= nowMillis }) {
            if (reserved > 0 &&
                available.sumOf { it.free.cpuMillicores } < reserved + task.step.room.cpuMillicores
            ) {
                return
            }
            val expected = expectedMillis(job, task.step)
            val demand = TaskDemand(task.step.room, expected, job.objectiveAtMillis - CALL_MILLIS - nowMillis)
            val candidates = available.filter { it.free.holds(demand.room) && it.agent !in task.failedOn }
            policies.choice.choose(demand, candidates, fastest)?.let { chosen ->
                chosen.reserve(demand.room)
                rooms.chosen(chosen.agent)
                task.ordered(chosen.agent)
                job.hasStarted = true
                inUse.merge(queue, demand.room.cpuMillicores, Long::plus)
                val run = OrderedRun(task.id.step, task.id.index, task.number, demand.room, expected)
                orders.getOrPut(job.job.id to chosen.agent) { mutableListOf() } += run
            }
        }
    }

    private fun order(
        jobs: Collection<HeldJob>,
        job: JobId,
        agent: ProcessId,
        runs: List<OrderedRun>,
    ): StepJobEffect.Start {
        val room = checkNotNull(rooms[agent]) { "Agent $agent was chosen and is not known." }
        val sequence = room.nextSequence()
        room.sent(sequence, runs.fold(Room.NONE) { sum, run -> sum + run.room })
        val specification = jobs.first { it.job.id == job }.job.specification
        return StepJobEffect.Start(agent, RunOrder(sequence, job, specification, runs))
    }

    companion object {
        /** Time for calls between caller, entry, agent and upstream, in both directions, in milliseconds. */
        const val CALL_MILLIS = 12.0
    }
}
