package io.egretlock.testing.audit

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest

/** One submission of a job and the reply to it. A resubmission is another [Submission] with the same [id]. */
data class Submission(
    val id: String,
    val job: JobRequest,
    val reply: JobReply,
)
