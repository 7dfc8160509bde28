package io.egretlock.core.placement

import io.egretlock.core.job.ProcessId
import kotlin.math.floor
import kotlin.math.ln

/** Availability of an agent for new tasks. */
internal enum class AgentAvailability {
    /** The agent may start as many tasks as it has credits. */
    AVAILABLE,

    /** The agent may start one task, a probe that shows whether it is healthy again. */
    PROBE_ONLY,

    /** The agent may start no task. */
    UNAVAILABLE,
}

/** State of an agent in a dispatcher. Only [AgentPool] changes it. */
internal class AgentState(
    var view: AgentView,
) {
    val id: ProcessId = view.agent
    var availability = AgentAvailability.AVAILABLE
    var isSuspended = false
    var mayProbe = false
    var isSlow = false
    var credits = 0
    var running = 0
    var runningLong = 0
    var slowness = 1.0
        set(value) {
            field = value
            slownessBucket = floor(ln(value) / SLOWNESS_BUCKET_WIDTH).toInt()
        }

    private var slownessBucket = 0

    /** Credits that could be spent now. */
    val usableCredits: Int
        get() =
            when (availability) {
                AgentAvailability.AVAILABLE -> credits
                AgentAvailability.PROBE_ONLY -> credits.coerceAtMost(1)
                AgentAvailability.UNAVAILABLE -> 0
            }

    val isHealthy: Boolean
        get() = !isSlow && !isSuspended

    /**
     * Rank in the order of choice, the smallest first. Agents to probe come first; the others follow by slowness, where
     * agents in the same bucket of its natural logarithm, [SLOWNESS_BUCKET_WIDTH] wide, count as equally fast.
     */
    val rank: Int
        get() = if (availability == AgentAvailability.PROBE_ONLY) Int.MIN_VALUE else slownessBucket

    /** Share of the agent's slots that this entry's tasks hold. */
    val load: Double
        get() = running.toDouble() / view.upstream.slots

    /** Rate of all slots of the agent, in milliseconds of work on an agent of slowness 1 per millisecond. */
    val nominalRate: Double
        get() = if (isSuspended) 0.0 else view.upstream.slots / slowness

    private companion object {
        const val SLOWNESS_BUCKET_WIDTH = 0.4
    }
}
