package io.egretlock.bench.simulation

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.core.job.JobId

/**
 * Retries of the simulated clients.
 *
 * @property retriesAfterRefusal number of times that a client submits refused work again, as a new job, if the refusal
 *   has a time to retry.
 * @property retriesAfterTimeout whether a client submits the work once more, as a new job, after its deadline.
 */
data class SimulatedRetryPolicy(
    val retriesAfterRefusal: Int = 0,
    val retriesAfterTimeout: Boolean = false,
)

/**
 * One run of a strategy in virtual time.
 *
 * @property oneWayMillis delay of each message between the entry and an agent.
 */
internal class Simulation(
    workers: List<WorkerTraits>,
    changes: List<WorkerChange>,
    private val oneWayMillis: Double,
    private val retryPolicy: SimulatedRetryPolicy,
    createStrategy: (StrategyContext) -> Strategy,
) : StrategyContext {
    private val events = EventQueue()
    private val jobs = ArrayList<SimulatedJob>()
    override val agents: List<SimulatedAgent> = workers.map { traits -> agent(traits) }
    private val strategy = createStrategy(this)

    override val nowMillis: Double
        get() = events.nowMillis

    init {
        changes.forEach { change -> events.at(change.atMillis) { apply(change) } }
    }

    /** Runs until all [arrivals] have ended and returns every submission, in order of arrival. */
    fun run(arrivals: List<WorkloadJob>): List<SimulatedJob> {
        arrivals.forEach { work -> events.at(work.arrivalMillis) { submit(work, retries = 0) } }
        events.run()
        return jobs
    }

    override fun send(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) {
        agent.inTransit++
        events.at(nowMillis + oneWayMillis) {
            agent.inTransit--
            agent.receive(task)
        }
    }

    private fun agent(traits: WorkerTraits): SimulatedAgent {
        lateinit var agent: SimulatedAgent
        agent =
            SimulatedAgent(traits, events) { task ->
                events.at(nowMillis + oneWayMillis) { taskEnded(task, agent) }
            }
        return agent
    }

    private fun apply(change: WorkerChange) {
        val agent = agents.first { it.traits.name == change.worker }
        agent.speed = change.speed
        agent.fails = change.fails
    }

    private fun submit(
        work: WorkloadJob,
        retries: Int,
    ) {
        val job = SimulatedJob(work, JobId("job-${jobs.size}"), nowMillis, retries)
        jobs += job
        val refusal = strategy.submit(job)
        if (refusal == null) {
            events.at(nowMillis + work.deadlineMillis) { timeOut(job) }
        } else {
            refuse(job, refusal)
        }
    }

    private fun refuse(
        job: SimulatedJob,
        refusal: Refusal,
    ) {
        job.retryAfterMillis = refusal.retryAfterMillis
        endJob(job, JobEnd.REFUSED)
        val retryAfter = refusal.retryAfterMillis ?: return
        if (job.retries >= retryPolicy.retriesAfterRefusal) return
        events.at(nowMillis + retryAfter) { submit(job.work, job.retries + 1) }
    }

    private fun timeOut(job: SimulatedJob) {
        if (job.end != JobEnd.PENDING) return
        endJob(job, JobEnd.LATE)
        if (retryPolicy.retriesAfterTimeout && job.retries == 0) submit(job.work, retries = 1)
    }

    private fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) {
        val job = task.job
        strategy.taskEnded(task, agent)
        if (job.end != JobEnd.PENDING) return
        job.unfinishedTasks--
        if (!task.succeeded) endJob(job, JobEnd.FAILED)
        if (job.unfinishedTasks == 0 && job.end == JobEnd.PENDING) endJob(job, JobEnd.COMPLETE)
    }

    private fun endJob(
        job: SimulatedJob,
        end: JobEnd,
    ) {
        job.end = end
        job.endedAtMillis = nowMillis
        if (end != JobEnd.REFUSED) strategy.jobEnded(job)
    }
}
