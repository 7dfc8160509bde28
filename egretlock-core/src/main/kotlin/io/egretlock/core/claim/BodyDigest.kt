package io.egretlock.core.claim

import io.egretlock.core.job.Job
import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** Digest of a submitted job, which tells a resubmission from a different job that uses the same id. */
@Serializable
@JvmInline
value class BodyDigest(
    val hexadecimal: String,
) {
    companion object {
        private const val DIGEST_BYTES = 16

        /** SHA-256 digest of [job], truncated to 128 bits. */
        fun of(job: Job): BodyDigest {
            val bytes = MessageDigest.getInstance("SHA-256").digest(job.toString().toByteArray())
            return BodyDigest(bytes.take(DIGEST_BYTES).joinToString("") { "%02x".format(it) })
        }
    }
}
