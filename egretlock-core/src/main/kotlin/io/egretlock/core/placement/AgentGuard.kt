package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId

/** Decides which agents get no work because they fail what they start. */
interface AgentGuard {
    /** Takes note of an agent that may receive work. */
    fun add(agent: ProcessId)

    /** Drops what is known of an agent that is gone. */
    fun forget(agent: ProcessId)

    /** Records the end of a task on [agent]. */
    fun record(
        agent: ProcessId,
        operation: OperationName,
        succeeded: Boolean,
        nowMillis: Long,
    )

    /** Whether [agent] gets no work but probes. */
    fun isSuspended(agent: ProcessId): Boolean

    /** Suspended agents that get one probe now. Each is returned once per probe. */
    fun probesDue(nowMillis: Long): List<ProcessId>
}

/** Suspends no agent: the baseline for [FailureGuard]. */
class NoGuard : AgentGuard {
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
