package io.egretlock.core.claim

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import kotlinx.serialization.Serializable

/** A job that ended at its home, as far as resubmissions need it. */
@Serializable
data class EndedClaim(
    val job: JobId,
    val digest: BodyDigest,
    val outcome: JobOutcome,
)

/**
 * An ended claim on its way to an heir.
 *
 * @property remainingMillis time for which the claim still has to be kept.
 */
@Serializable
data class HandedClaim(
    val claim: EndedClaim,
    val remainingMillis: Long,
)
