package io.egretlock.core.placement

import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.max
import kotlin.math.min
import kotlin.math.sqrt

/**
 * Learns run times from completed tasks.
 *
 * The logarithm of a run time is modelled as the sum of an operation's level and an agent's level. Both are corrected
 * by the residual of each run, with exponentially decaying weights. The number of operations with their own estimate is
 * bounded, because clients choose the names of operations; all others share one estimate. Estimates of agents are kept
 * after their connection is lost; the least recently used ones are evicted first.
 */
class RunTimeLearner : RunTimes {
    private val operations = HashMap<OperationName, OperationEstimate>()
    private val agents =
        object : LinkedHashMap<ProcessId, AgentEstimate>(INITIAL_CAPACITY, LOAD_FACTOR, true) {
            override fun removeEldestEntry(eldest: Map.Entry<ProcessId, AgentEstimate>): Boolean = size > AGENTS_LIMIT
        }
    private val overall = OperationEstimate()

    override val hasLearned: Boolean
        get() = overall.count > 0

    override fun expectedMillis(
        operation: OperationName,
        declaredMillis: Long?,
    ): Double {
        val estimate = operations[operation] ?: overall
        return if (estimate.count > 0) estimate.meanMillis else declared(declaredMillis)
    }

    override fun typicalMillis(operation: OperationName): Double? = operations[operation]?.let { exp(it.level) }

    override fun tailMillis(operation: OperationName): Double = operations[operation]?.tailMillis() ?: 0.0

    override fun shortestMillis(operation: OperationName): Long? = operations[operation]?.shortestMillis

    override fun slowness(agent: ProcessId): Double = agents[agent]?.let { exp(it.level) } ?: 1.0

    override fun record(
        operation: OperationName,
        agent: ProcessId,
        runMillis: Long,
    ) {
        val bounded = max(runMillis, 1L)
        val agentEstimate = agents.getOrPut(agent) { AgentEstimate() }
        estimateOf(operation)?.record(bounded, agentEstimate)
        val residual = ln(bounded.toDouble()) - agentEstimate.level - (operations[operation] ?: overall).level
        overall.record(bounded, agentEstimate)
        agentEstimate.record(residual)
    }

    private fun estimateOf(operation: OperationName): OperationEstimate? {
        val known = operations[operation]
        if (known != null || operations.size >= OPERATIONS_LIMIT) return known
        return OperationEstimate().also { operations[operation] = it }
    }

    private fun declared(declaredMillis: Long?): Double =
        (declaredMillis ?: DeclaredRunTimes.DEFAULT_RUN_MILLIS).coerceAtLeast(1).toDouble()

    private class AgentEstimate {
        var level = 0.0
            private set
        private var count = 0L

        fun record(residual: Double) {
            level += weight(count, AGENT_WEIGHT) * residual
            count++
        }
    }

    private class OperationEstimate {
        var count = 0L
            private set
        var level = 0.0
            private set
        var meanMillis = 0.0
            private set
        var shortestMillis = Long.MAX_VALUE
            private set
        private var longestMillis = 1L
        private var rawLevel = 0.0
        private var rawVariance = 0.0

        fun record(
            runMillis: Long,
            agent: AgentEstimate,
        ) {
            val raw = ln(runMillis.toDouble())
            val weight = weight(count, OPERATION_WEIGHT)
            level += weight(count, LEVEL_WEIGHT) * (raw - agent.level - level)
            meanMillis += weight * (runMillis / exp(agent.level) - meanMillis)
            val deviation = raw - rawLevel
            rawLevel += weight * deviation
            rawVariance += weight * (deviation * deviation * (1 - weight) - rawVariance)
            shortestMillis = min(shortestMillis, runMillis)
            longestMillis = max(longestMillis, runMillis)
            count++
        }

        /**
         * Returns the 99th percentile of the fitted distribution, but at most the longest run: with two run times far
         * apart, the percentile lies far above both.
         */
        fun tailMillis(): Double = min(exp(rawLevel + TAIL_DEVIATIONS * sqrt(rawVariance)), longestMillis.toDouble())
    }

    private companion object {
        const val OPERATIONS_LIMIT = 256
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
        const val AGENTS_LIMIT = 8_192
        const val OPERATION_WEIGHT = 0.02
        const val LEVEL_WEIGHT = 0.002
        const val AGENT_WEIGHT = 0.1
        const val TAIL_DEVIATIONS = 2.33

        fun weight(
            count: Long,
            smallest: Double,
        ): Double = max(1.0 / (count + 1), smallest)
    }
}
