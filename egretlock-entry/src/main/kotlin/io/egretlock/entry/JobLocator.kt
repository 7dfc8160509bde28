package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember

/** Locates the home of a job. */
interface JobLocator {
    /** The location of the home of job [id], created at [createdAtMillis] by its caller's clock. */
    fun locate(
        id: JobId,
        createdAtMillis: Long,
    ): JobLocation
}

/** Location of the home of a job. */
sealed interface JobLocation {
    /** This entry, which may claim the job now. */
    data object Local : JobLocation

    /** This entry, which may join a known job but not claim it; [verdictIfUnknown] is the answer to an unknown job. */
    data class LocalIfKnown(
        val verdictIfUnknown: Verdict,
    ) : JobLocation

    /** Another entry. */
    data class Remote(
        val member: EntryMember,
    ) : JobLocation

    /** No entry may claim the job. */
    data class Refused(
        val verdict: Verdict,
    ) : JobLocation
}
