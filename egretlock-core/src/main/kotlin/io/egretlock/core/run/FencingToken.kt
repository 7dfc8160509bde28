package io.egretlock.core.run

/**
 * Fencing token of an agent's orders, by which the upstream refuses orders of an earlier process of the agent.
 *
 * It also rises when the upstream may have restarted, so that the new incarnation refuses orders meant for an earlier
 * one.
 * Its first value is the wall clock at the start of the process, so that neither a store nor a disk is needed. If the
 * wall clock was set back since the earlier process started, the upstream refuses the token; each refusal raises the
 * token by ten times as much as the one before.
 */
class FencingToken(
    startMillis: Long,
) {
    private var stepMillis = FIRST_STEP_MILLIS

    /** Token to send with the next order. */
    var value: Long = startMillis
        private set

    /** Raises the value after an order with [token] was refused because the upstream has seen a higher token. */
    fun onRefused(token: Long) {
        if (token < value) return
        value += stepMillis
        stepMillis *= STEP_FACTOR
    }

    /** Raises the value after the upstream has restarted or may have, so that it refuses orders that were sent before. */
    fun onPossibleRestart() {
        value++
    }

    private companion object {
        /** First increment; makes up for a clock that was set back by a few seconds. */
        const val FIRST_STEP_MILLIS = 10_000L
        const val STEP_FACTOR = 10
    }
}
