package io.egretlock.core.run

/** What showed an agent that a run has ended or will not start. */
enum class EndCause {
    /** The upstream listed the end. */
    LISTED,

    /** The upstream no longer listed the run. */
    NOT_LISTED,

    /** The upstream refused the start. */
    START_REFUSED,

    /** The start was no longer due when there was a connection for it, and was not sent. */
    START_NOT_SENT,

    /** The upstream has not answered for longer than leases last. */
    LEASE_EXPIRED,

    /** The order may have been on its way for too long. */
    ORDER_TOO_OLD,

    /** Another run of the task has not ended. */
    OTHER_RUN,

    /** The agent or its upstream accepts no runs. */
    NOT_ACCEPTING,

    /** The upstream has no room for the run. */
    NO_ROOM,
}
