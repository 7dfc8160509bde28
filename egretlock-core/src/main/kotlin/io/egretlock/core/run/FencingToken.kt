package io.egretlock.core.run

/**
 * The number that an agent's orders carry, so that orders of an earlier process of the agent are refused.
 *
 * It is taken from the time of day, so that neither a store nor a disk is needed. If the time of day was set back since the
 * earlier process started, the upstream refuses the token; each refusal raises it by ten times as much as the one before.
 */
class FencingToken(
    startMillis: Long,
) {
    private var step = FIRST_STEP_MILLIS

    /** The token to send. */
    var value: Long = startMillis
        private set

    /** An order with [token] was refused for a higher one. */
    fun refused(token: Long) {
        if (token < value) return
        value += step
        step *= STEP_FACTOR
    }

    private companion object {
        /** A jump of the clock by some seconds is overcome by the first step. */
        const val FIRST_STEP_MILLIS = 10_000L
        const val STEP_FACTOR = 10
    }
}
