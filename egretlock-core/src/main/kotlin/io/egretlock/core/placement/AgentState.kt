package io.egretlock.core.placement

import io.egretlock.core.job.ProcessId
import kotlin.math.floor
import kotlin.math.ln

/** Whether an agent receives tasks now. */
internal enum class AgentAccess {
    /** As many as it has credits. */
    OPEN,

    /** One, to learn whether it is fit again. */
    PROBE,

    /** None. */
    CLOSED,
}

/** What a dispatcher knows of one agent. Only [AgentPool] changes it. */
internal class AgentState(
    var view: AgentView,
) {
    val id: ProcessId = view.agent
    var access = AgentAccess.OPEN
    var isSuspended = false
    var mayProbe = false
    var isSlow = false
    var credits = 0
    var running = 0
    var runningLong = 0
    var slowness = 1.0
        set(value) {
            field = value
            slownessStep = floor(ln(value) / SPEED_STEP).toInt()
        }

    private var slownessStep = 0

    /** Credits that could be spent now. */
    val usableCredits: Int
        get() =
            when (access) {
                AgentAccess.OPEN -> credits
                AgentAccess.PROBE -> credits.coerceAtMost(1)
                AgentAccess.CLOSED -> 0
            }

    val isFit: Boolean
        get() = !isSlow && !isSuspended

    /** Agents of one speed step count as equally fast. Agents to probe come first. */
    val speedStep: Int
        get() = if (access == AgentAccess.PROBE) Int.MIN_VALUE else slownessStep

    /** Share of the slots that this entry's tasks hold. */
    val load: Double
        get() = running.toDouble() / view.upstream.slots

    /** Work that the agent's slots do per millisecond, in milliseconds on an agent of slowness 1. */
    val nominalRate: Double
        get() = if (isSuspended) 0.0 else view.upstream.slots / slowness

    private companion object {
        const val SPEED_STEP = 0.4
    }
}
