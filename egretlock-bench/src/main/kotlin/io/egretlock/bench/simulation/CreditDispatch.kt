package io.egretlock.bench.simulation

import io.egretlock.bench.load.WorkloadTask
import io.egretlock.core.job.DeclaredNeeds
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.placement.Admission
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.Dispatcher
import io.egretlock.core.placement.UpstreamAnnouncement
import kotlin.math.roundToLong

/** Places tasks with a [Dispatcher] of the core module, as one entry that holds the credits of all agents. */
internal class CreditDispatch(
    private val context: StrategyContext,
    private val service: ServiceName,
    private val dispatcher: Dispatcher,
) : Strategy {
    private val agents = context.agents.associateBy { it.id }
    private val placed = HashMap<TaskId, SimulatedTask>()
    private val jobs = HashMap<JobId, SimulatedJob>()

    private val now: Long
        get() = context.nowMillis.toLong()

    init {
        context.agents.forEach { agent ->
            val upstream = UpstreamAnnouncement(service, agent.traits.slots, CONNECTIONS, "127.0.0.1:1")
            dispatcher.agentChanged(AgentView(agent.id, agent.traits.failureDomain, upstream))
            dispatcher.creditsGranted(agent.id, agent.traits.slots)
        }
    }

    override fun submit(job: SimulatedJob): Refusal? {
        val admission = dispatcher.submit(toJob(job), now + job.work.deadlineMillis, now)
        if (admission is Admission.Refused) return Refusal(admission.verdict.retryAfterMillis)
        jobs[job.id] = job
        place()
        return null
    }

    override fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) {
        placed.remove(task.id)
        dispatcher.taskEnded(task.id, agent.id, task.runMillis.roundToLong(), task.succeeded, now)
        dispatcher.creditsGranted(agent.id, 1)
        place()
    }

    override fun jobEnded(job: SimulatedJob) {
        jobs.remove(job.id)
        dispatcher.withdraw(job.id)
    }

    private fun place() {
        for (placement in dispatcher.placements(now)) {
            val job = jobs[placement.task.job] ?: continue
            val task = job.tasks[placement.task.index]
            placed[task.id] = task
            context.send(task, agents.getValue(placement.agent))
        }
    }

    private fun toJob(job: SimulatedJob) =
        Job(
            id = job.id,
            team = job.work.team,
            service = service,
            createdAtMillis = 0,
            deadlineMillis = job.work.deadlineMillis,
            tasks = job.work.tasks.map(::specification),
        )

    private fun specification(task: WorkloadTask) =
        TaskSpecification(
            operation = task.operation,
            idempotent = false,
            payload = "{}",
            declared = DeclaredNeeds(runMillis = task.declaredMillis),
        )

    private companion object {
        const val CONNECTIONS = 64
    }
}
