package io.egretlock.core.run

import io.egretlock.core.job.ServiceName

/** What an upstream says about itself in a heartbeat. */
data class UpstreamStatus(
    val life: UpstreamLife,
    val service: ServiceName,
    val address: String,
    val room: Room,
    val isDraining: Boolean,
    val sequence: Long,
)

/**
 * One life of an upstream: a restart under the same [name] has a later [startedAtMillis], and remembers nothing.
 */
data class UpstreamLife(
    val name: String,
    val startedAtMillis: Long,
)

/** Answer of an upstream to the order to start a run. */
enum class StartAnswer {
    STARTED,

    /** The run has not begun, and never will under this number: a later run or a stop was seen. */
    NUMBER_USED,

    /** The order came after its own deadline. */
    TOO_LATE,

    /** There is no room for it. */
    NO_ROOM,

    /** The upstream has seen a higher fencing token. */
    FENCED,

    /** The upstream is unhealthy and has done nothing. */
    UNHEALTHY,

    /** The order was refused for another reason; nothing has begun. */
    REFUSED,

    /** No answer came: the run may have begun, or may still begin. */
    UNANSWERED,
}

/**
 * Answer of an upstream to a renewal of its lease.
 *
 * @property startedAtMillis start of the upstream's present life.
 * @property clockMillis the upstream's own clock.
 */
data class RenewalAnswer(
    val startedAtMillis: Long,
    val clockMillis: Long,
    val active: List<ActiveRun>,
    val ended: List<EndedRun>,
)

/** A run that is at work; [percent] is how much of it is done. */
data class ActiveRun(
    val run: RunId,
    val percent: Int,
)

/** A run that has ended; [sequence] numbers the ends of one life of an upstream from 1. */
data class EndedRun(
    val sequence: Long,
    val run: RunId,
    val end: RunEnd,
)
