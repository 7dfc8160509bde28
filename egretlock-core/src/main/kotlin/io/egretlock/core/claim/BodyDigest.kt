package io.egretlock.core.claim

import io.egretlock.core.job.Job
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** Digest of everything that a job's submission says, so that a resubmission can be told from another job. */
@Serializable
@JvmInline
value class BodyDigest(
    val hexadecimal: String,
) {
    companion object {
        private const val KEPT_BYTES = 16

        /** SHA-256 of [job], shortened to 128 bits. */
        fun of(job: Job): BodyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(job.toString().toByteArray())
            return BodyDigest(bytes.take(KEPT_BYTES).joinToString("") { "%02x".format(it) })
        }
    }
}
