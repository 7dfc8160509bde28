package io.egretlock.bench.simulation

import io.egretlock.bench.load.WorkloadJob
import io.egretlock.core.job.JobId

/**
 * What clients do.
 *
 * @property returnsAfterRefusal how often a client comes back with a new job after a refusal, when told to.
 * @property returnsAfterTimeout whether a client submits a new job once after its deadline has passed.
 */
data class ClientHabits(
    val returnsAfterRefusal: Int = 0,
    val returnsAfterTimeout: Boolean = false,
)

/**
 * One run in virtual time: the given arrivals, workers and strategy.
 *
 * @property oneWayMillis delay of each message between the entry and an agent.
 */
internal class Simulation(
    workers: List<WorkerTraits>,
    changes: List<WorkerChange>,
    private val oneWayMillis: Double,
    private val habits: ClientHabits,
    createStrategy: (Workplace) -> Strategy,
) : Workplace {
    private val events = EventQueue()
    private val jobs = ArrayList<SimulatedJob>()
    override val agents: List<SimulatedAgent> = workers.map { traits -> agent(traits) }
    private val strategy = createStrategy(this)

    override val nowMillis: Double
        get() = events.nowMillis

    init {
        changes.forEach { change -> events.at(change.atMillis) { apply(change) } }
    }

    /** Runs all [arrivals] to their end and returns every submission, in order of arrival. */
    fun run(arrivals: List<WorkloadJob>): List<SimulatedJob> {
        arrivals.forEach { work -> events.at(work.arrivalMillis) { submit(work, returns = 0) } }
        events.run()
        return jobs
    }

    override fun send(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) {
        agent.approaching++
        events.at(nowMillis + oneWayMillis) {
            agent.approaching--
            agent.receive(task)
        }
    }

    private fun agent(traits: WorkerTraits): SimulatedAgent {
        lateinit var agent: SimulatedAgent
        agent = SimulatedAgent(traits, events) { task -> events.at(nowMillis + oneWayMillis) { ended(task, agent) } }
        return agent
    }

    private fun apply(change: WorkerChange) {
        val agent = agents.first { it.traits.name == change.worker }
        agent.speed = change.speed
        agent.fails = change.fails
    }

    private fun submit(
        work: WorkloadJob,
        returns: Int,
    ) {
        val job = SimulatedJob(work, JobId("job-${jobs.size}"), nowMillis, returns)
        jobs += job
        val refusal = strategy.arrived(job)
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
        settle(job, JobEnd.REFUSED)
        val retryAfter = refusal.retryAfterMillis ?: return
        if (job.returns >= habits.returnsAfterRefusal) return
        events.at(nowMillis + retryAfter) { submit(job.work, job.returns + 1) }
    }

    private fun timeOut(job: SimulatedJob) {
        if (job.end != JobEnd.PENDING) return
        settle(job, JobEnd.LATE)
        if (habits.returnsAfterTimeout && job.returns == 0) submit(job.work, returns = 1)
    }

    private fun ended(
        task: SimulatedTask,
        agent: SimulatedAgent,
    ) {
        val job = task.job
        strategy.ended(task, agent)
        if (job.end != JobEnd.PENDING) return
        job.unfinished--
        if (!task.succeeded) settle(job, JobEnd.FAILED)
        if (job.unfinished == 0 && job.end == JobEnd.PENDING) settle(job, JobEnd.COMPLETE)
    }

    private fun settle(
        job: SimulatedJob,
        end: JobEnd,
    ) {
        job.end = end
        job.endedAtMillis = nowMillis
        if (end != JobEnd.REFUSED) strategy.settled(job)
    }
}
