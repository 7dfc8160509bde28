package io.egretlock.core.run

import kotlin.math.max

/**
 * Times of [JobOwnership], in milliseconds.
 *
 * @property repeatMillis shortest time after which a caller that lost its connection submits its job again, at any
 * entry.
 */
data class OwnershipTiming(
    val repeatMillis: Long = DEFAULT_REPEAT_MILLIS,
) {
    /** Age from which on a job may have runs only if every reachable entry has confirmed that it is not its own. */
    val confirmedFromMillis: Long =
        max(
            0,
            repeatMillis - UNNOTICED_PAUSE_MILLIS - UNNOTICED_SUSPENSION_MILLIS - STOP_MILLIS,
        )

    /** Age at which the other entries are asked to confirm. */
    val announcedFromMillis: Long = max(0, confirmedFromMillis - CONFIRMATION_MILLIS)

    companion object {
        const val DEFAULT_REPEAT_MILLIS = 1_300L

        /** Longest pause of the process that does not count as a standstill; a request may lie unread meanwhile. */
        const val UNNOTICED_PAUSE_MILLIS = 250L

        /** Longest suspension of the instance, during which its clock stands still, that does not count as one. */
        const val UNNOTICED_SUSPENSION_MILLIS = 150L

        /** Time for runs to end that are being stopped. */
        const val STOP_MILLIS = 200L

        /** Time for the confirmations; allows for two repetitions of the question. */
        const val CONFIRMATION_MILLIS = 300L

        /** Time without placements after a standstill and after the first agent has connected. */
        const val SETTLE_MILLIS = 200L

        /** Interval at which the age of the jobs is checked. */
        const val CHECK_MILLIS = 10L

        /** Time after which the question is sent again to entries that have not answered. */
        const val RETRY_MILLIS = 100L

        /**
         * Time for which an entry has to confirm each job before it is placed, after it became reachable or this process
         * stood still. By then it has asked this one to confirm its own older jobs, and the requests that had arrived
         * during a standstill are read.
         */
        const val DOUBT_MILLIS = 2_000L
    }
}
