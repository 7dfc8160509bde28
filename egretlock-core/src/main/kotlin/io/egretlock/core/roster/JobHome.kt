package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/** Where the home of a job is, as one entry sees it. */
sealed interface JobHome {
    /** This entry, which may claim the job or refuse it for good. */
    data object Here : JobHome

    /** This entry, but it cannot exclude that another one has become the home. It may only join a known claim. */
    data object HereUnconfirmed : JobHome

    /** Another entry. */
    data class At(
        val member: EntryMember,
    ) : JobHome

    /** The home is gone with its claims. Jobs created from [retryAtMillis] on, since the epoch, have another. */
    data class Lost(
        val home: ProcessId?,
        val retryAtMillis: Long,
    ) : JobHome

    /** The job is older than claims are remembered. */
    data object TooOld : JobHome

    /** The creation time is too far ahead of this entry's clock. */
    data object FromTheFuture : JobHome

    /** This entry knows no roster yet. */
    data object Unknown : JobHome
}
