package io.egretlock.core.run

import kotlinx.serialization.Serializable

/** How a run ended, as its agent reports it. After each of these nothing of the run is at work any more. */
@Serializable
enum class RunEnd {
    /** The task succeeded. */
    SUCCEEDED,

    /** The task ran and failed, through its own fault or the upstream's. */
    FAILED,

    /** The run was stopped on request, or its lease ran out. */
    STOPPED,

    /** The upstream is gone, and the run with it. */
    LOST,

    /** The task made no progress and was stopped. */
    STALLED,

    /** The run never began: there was no room, or the agent takes no work. */
    NOT_STARTED,

    /** The run never began, because the upstream has seen a run of this task with the same or a higher number. */
    NUMBER_USED,

    /** The run never began: the upstream says that it is unhealthy, or did not answer. */
    UNHEALTHY,
}
