package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember

/** Tells which entry is the home of a job. */
interface JobLocator {
    /** Home of the job [id] that was created at [createdAtMillis] by its client's clock. */
    fun locate(
        id: JobId,
        createdAtMillis: Long,
    ): JobLocation
}

/** Where the home of a job is. */
sealed interface JobLocation {
    /** This entry, which may claim the job now. */
    data object Here : JobLocation

    /** This entry, which may join the job if it knows it, but not claim it; [otherwise] is the answer if it does not. */
    data class HereIfKnown(
        val otherwise: Verdict,
    ) : JobLocation

    /** Another entry. */
    data class Elsewhere(
        val member: EntryMember,
    ) : JobLocation

    /** No entry may claim the job. */
    data class Nowhere(
        val verdict: Verdict,
    ) : JobLocation
}
