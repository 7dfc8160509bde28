package io.egretlock.bench.simulation

/** Places the tasks of arriving jobs on agents; a scenario compares several strategies. */
internal interface Strategy {
    /** Accepts a job that has arrived, or returns its refusal. */
    fun submit(job: SimulatedJob): Refusal?

    /** Called when [task] has ended at [agent]. */
    fun taskEnded(
        task: SimulatedTask,
        agent: SimulatedAgent,
    )

    /** Called when the outcome of [job] is known, so that its queued tasks need not start. */
    fun jobEnded(job: SimulatedJob)
}

/** Refusal of a job, with the time after which to retry; null if the client should not retry. */
internal data class Refusal(
    val retryAfterMillis: Long?,
)

/** The agents, the virtual time and the message transport that a strategy uses. */
internal interface StrategyContext {
    val agents: List<SimulatedAgent>
    val nowMillis: Double

    /** Sends [task] to [agent], which receives it after the one-way delay. */
    fun send(
        task: SimulatedTask,
        agent: SimulatedAgent,
    )
}
