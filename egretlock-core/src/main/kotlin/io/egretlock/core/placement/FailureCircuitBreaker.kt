package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId

/**
 * Suspends an agent after several failures without a success in between. Restores it after [SUCCESSES_TO_RESTORE]
 * successful probes in a row, which are sent one at a time; failed probes are retried with exponential backoff.
 *
 * The weight of a failure is the recent success ratio of its operation on all agents, so that a faulty operation
 * suspends no agent. At most half of the agents are suspended at once: beyond that, the fault is unlikely to be
 * theirs.
 */
class FailureCircuitBreaker : AgentCircuitBreaker {
    private val records = HashMap<ProcessId, AgentRecord>()
    private val suspended = LinkedHashMap<ProcessId, Suspension>()
    private val successRatios = HashMap<OperationName, Double>()

    override fun add(agent: ProcessId) {
        records.getOrPut(agent) { AgentRecord() }
    }

    override fun forget(agent: ProcessId) {
        records.remove(agent)
        suspended.remove(agent)
    }

    override fun record(
        agent: ProcessId,
        operation: OperationName,
        succeeded: Boolean,
        nowMillis: Long,
    ) {
        val ratio = successRatios[operation] ?: 1.0
        updateRatio(operation, succeeded, ratio)
        val suspension = suspended[agent]
        when {
            suspension != null -> recordProbe(agent, suspension, succeeded, nowMillis)
            succeeded -> records[agent]?.failureScore = 0.0
            else -> recordFailure(agent, ratio, nowMillis)
        }
    }

    override fun isSuspended(agent: ProcessId): Boolean = agent in suspended

    override fun probesDue(nowMillis: Long): List<ProcessId> {
        if (suspended.isEmpty()) return emptyList()
        val due = suspended.filterValues { !it.isProbing && it.nextProbeAtMillis <= nowMillis }
        due.values.forEach { it.isProbing = true }
        return due.keys.toList()
    }

    private fun recordFailure(
        agent: ProcessId,
        weight: Double,
        nowMillis: Long,
    ) {
        val record = records[agent] ?: return
        record.failureScore += weight
        val mayStillSuspend = (suspended.size + 1) * 2 <= records.size
        if (record.failureScore >= SUSPENSION_SCORE && mayStillSuspend) {
            record.failureScore = 0.0
            suspended[agent] = Suspension(nextProbeAtMillis = nowMillis + SHORTEST_BACKOFF_MILLIS)
        }
    }

    private fun recordProbe(
        agent: ProcessId,
        suspension: Suspension,
        succeeded: Boolean,
        nowMillis: Long,
    ) {
        if (!suspension.isProbing) return
        suspension.isProbing = false
        if (succeeded) {
            suspension.successes++
            suspension.nextProbeAtMillis = nowMillis
        } else {
            suspension.successes = 0
            suspension.backoffMillis = (suspension.backoffMillis * 2).coerceAtMost(LONGEST_BACKOFF_MILLIS)
            suspension.nextProbeAtMillis = nowMillis + suspension.backoffMillis
        }
        if (suspension.successes >= SUCCESSES_TO_RESTORE) suspended.remove(agent)
    }

    private fun updateRatio(
        operation: OperationName,
        succeeded: Boolean,
        ratio: Double,
    ) {
        if (operation !in successRatios && successRatios.size >= OPERATIONS_LIMIT) return
        val outcome = if (succeeded) 1.0 else 0.0
        successRatios[operation] = ratio + RATIO_WEIGHT * (outcome - ratio)
    }

    private class AgentRecord {
        var failureScore = 0.0
    }

    private class Suspension(
        var nextProbeAtMillis: Long,
    ) {
        var backoffMillis = SHORTEST_BACKOFF_MILLIS
        var isProbing = false
        var successes = 0
    }

    private companion object {
        const val SUSPENSION_SCORE = 2.5
        const val SUCCESSES_TO_RESTORE = 3
        const val SHORTEST_BACKOFF_MILLIS = 500L
        const val LONGEST_BACKOFF_MILLIS = 8_000L
        const val RATIO_WEIGHT = 0.05
        const val OPERATIONS_LIMIT = 256
    }
}
