package io.egretlock.testing.soak

import io.egretlock.testing.system.ProcessSignal

/**
 * What the soak test does to processes, upstreams and the store.
 *
 * @property signal signal that an instance gets; null if the fault is not to an instance.
 */
enum class SoakFaultKind(
    internal val signal: ProcessSignal? = null,
) {
    KILL(ProcessSignal.KILL),
    PLANNED_STOP(ProcessSignal.TERM),
    PAUSE(ProcessSignal.STOP),
    STORE_DOWN,
    CONFIGURATION,

    /** An upstream ends without a sign to its agent, which gets no answer until the upstream has started again. */
    SILENT_RESTART,

    /** An upstream ends, and its address refuses connections until it has started again. */
    REFUSING_RESTART,
    ;

    /** Whether an upstream ends and starts again. */
    internal val isRestart: Boolean
        get() = this == SILENT_RESTART || this == REFUSING_RESTART

    internal companion object {
        /** The faults to upstreams only. */
        val RESTARTS = entries.filter { it.isRestart }
    }
}
