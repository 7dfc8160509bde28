package io.egretlock.core.claim

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import kotlinx.serialization.Serializable

/** Claim of a job that ended at its home: what is needed to answer resubmissions of the job. */
@Serializable
data class EndedClaim(
    val job: JobId,
    val digest: BodyDigest,
    val outcome: JobOutcome,
)

/**
 * An ended claim that is handed over to an heir.
 *
 * @property remainingMillis time for which the heir has to retain the claim.
 */
@Serializable
data class ExportedClaim(
    val claim: EndedClaim,
    val remainingMillis: Long,
)
