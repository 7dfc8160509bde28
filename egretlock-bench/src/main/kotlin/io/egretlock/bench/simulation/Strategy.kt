package io.egretlock.bench.simulation

/** Way to place the tasks of arriving jobs on agents: what a run compares. */
internal interface Strategy {
    /** Takes a job that arrived; returns the time after which to come back if it is refused. */
    fun arrived(job: SimulatedJob): Refusal?

    /** A task ended at [agent]. */
    fun ended(
        task: SimulatedTask,
        agent: SimulatedAgent,
    )

    /** The outcome of a job is known: none of its waiting tasks needs to start. */
    fun settled(job: SimulatedJob)
}

/** Refusal of a job. */
internal data class Refusal(
    val retryAfterMillis: Long?,
)

/** What a strategy may use: the agents, the time, and a way to send a task. */
internal interface Workplace {
    val agents: List<SimulatedAgent>
    val nowMillis: Double

    /** Sends [task] to [agent], which receives it after the one-way delay. */
    fun send(
        task: SimulatedTask,
        agent: SimulatedAgent,
    )
}
