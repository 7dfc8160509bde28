package io.egretlock.core.roster

import io.egretlock.core.job.ProcessId

/** Home of a job: the entry that may claim it, as one entry sees it. */
sealed interface JobHome {
    /** This entry, which may claim the job or refuse it finally as not run. */
    data object Local : JobHome

    /** This entry, but another one may have become the home. Only a claim that is already known here may be joined. */
    data object LocalUnconfirmed : JobHome

    /** Another entry. */
    data class Remote(
        val member: EntryMember,
    ) : JobHome

    /**
     * The home has ended and its claims are lost.
     *
     * @property home null if the roster had no members.
     * @property retryAtMillis jobs created from then on have another home; milliseconds since the epoch.
     */
    data class Lost(
        val home: ProcessId?,
        val retryAtMillis: Long,
    ) : JobHome

    /** The job is older than the time for which claims are kept. */
    data object Expired : JobHome

    /** The creation time is too far ahead of this entry's clock. */
    data object TooNew : JobHome

    /** This entry knows no roster yet. */
    data object Unknown : JobHome
}
