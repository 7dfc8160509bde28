package io.egretlock.core.run

import kotlinx.serialization.Serializable

/** How a run ended, as its agent reports it. With each of these values the run is no longer active. */
@Serializable
enum class RunEnd {
    /** The task succeeded. */
    SUCCEEDED,

    /** The task ran and failed; the cause may be the task or the upstream. */
    FAILED,

    /** The run was stopped on request, or its lease expired. */
    STOPPED,

    /** The upstream no longer has the run, or has not answered for longer than the lease of the run lasts. */
    LOST,

    /** The task made no progress and was stopped. */
    STALLED,

    /** The run never started: there was no room, or the agent accepts no work. */
    NOT_STARTED,

    /** The run never started, because the upstream has seen a run of this task with the same or a higher number. */
    NUMBER_USED,

    /** The run never started: the upstream is unhealthy or did not answer, or the order reached the agent too late. */
    UNHEALTHY,
}
