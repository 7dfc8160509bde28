package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId

/** Decides which agents are suspended, that is, get no tasks except probes, because the tasks that they run fail. */
interface AgentCircuitBreaker {
    /** Adds an agent that may receive tasks. */
    fun add(agent: ProcessId)

    /** Removes all records of an agent that has been lost. */
    fun forget(agent: ProcessId)

    /** Records whether a task of [operation] succeeded on [agent]. */
    fun record(
        agent: ProcessId,
        operation: OperationName,
        succeeded: Boolean,
        nowMillis: Long,
    )

    /** Whether [agent] gets no tasks except probes. */
    fun isSuspended(agent: ProcessId): Boolean

    /** Returns the suspended agents that get a probe (a single task) now, each one once per probe. */
    fun probesDue(nowMillis: Long): List<ProcessId>
}

/** Suspends no agent; the baseline with which [FailureCircuitBreaker] is compared. */
class NoCircuitBreaker : AgentCircuitBreaker {
    override fun add(agent: ProcessId) = Unit

    override fun forget(agent: ProcessId) = Unit

    override fun record(
        agent: ProcessId,
        operation: OperationName,
        succeeded: Boolean,
        nowMillis: Long,
    ) = Unit

    override fun isSuspended(agent: ProcessId): Boolean = false

    override fun probesDue(nowMillis: Long): List<ProcessId> = emptyList()
}
