package io.egretlock.testing.audit

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest

/** One submission of a job with the reply it got. A resubmission is another one with the same [id]. */
data class Submission(
    val id: String,
    val job: JobRequest,
    val reply: JobReply,
)
