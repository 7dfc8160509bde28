package io.egretlock.core.run

import io.egretlock.core.job.ServiceName

/** Content of an upstream's heartbeat. */
data class UpstreamStatus(
    val incarnation: UpstreamIncarnation,
    val service: ServiceName,
    val address: String,
    val room: Room,
    val isDraining: Boolean,
    val sequence: Long,
)

/**
 * An incarnation of an upstream. After a restart under the same [name] it has a later [startedAtMillis] and no record
 * of earlier runs.
 */
data class UpstreamIncarnation(
    val name: String,
    val startedAtMillis: Long,
)

/** Answer of an upstream to an order to start a run. */
enum class StartAnswer {
    STARTED,

    /** The run has not started and never will under this number: the upstream has seen a later run or a stop. */
    NUMBER_USED,

    /** The order arrived after its deadline. */
    TOO_LATE,

    /** The upstream has no room for the run. */
    NO_ROOM,

    /** The upstream has seen a higher fencing token. */
    FENCED,

    /** The upstream is unhealthy and has not started the run. */
    UNHEALTHY,

    /** The order was meant for another incarnation of the upstream; this one has not started the run. */
    OTHER_INCARNATION,

    /** The order was refused for another reason; the run has not started. */
    REFUSED,

    /** No answer arrived: the run may have started or may still start. */
    UNANSWERED,

    /** The order was not sent, since it was no longer due when there was a connection for it. */
    NOT_SENT,
}

/**
 * Answer of an upstream to a renewal of its lease.
 *
 * @property startedAtMillis start time of the upstream's current incarnation.
 * @property clockMillis time of the upstream's clock.
 */
data class RenewalAnswer(
    val startedAtMillis: Long,
    val clockMillis: Long,
    val active: List<ActiveRun>,
    val ended: List<EndedRun>,
)

/** An active run; [percent] is its progress. */
data class ActiveRun(
    val run: RunId,
    val percent: Int,
)

/** A run that has ended; [sequence] counts the ends of one incarnation of an upstream from 1. */
data class EndedRun(
    val sequence: Long,
    val run: RunId,
    val end: RunEnd,
)
