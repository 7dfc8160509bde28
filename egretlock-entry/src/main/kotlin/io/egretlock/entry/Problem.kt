package io.egretlock.entry

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import kotlinx.serialization.Serializable

/** Response body for a request without a complete answer, as `application/problem+json` (RFC 9457). */
@Serializable
data class Problem(
    val type: String,
    val title: String,
    val status: Int,
    val detail: String,
    val verdict: String,
    val reason: String,
    val job: String? = null,
    val retryAfterMillis: Long? = null,
) {
    companion object {
        const val MEDIA_TYPE = "application/problem+json"

        /** The problem for [verdict] on [job]. */
        fun of(
            verdict: Verdict,
            job: String?,
        ): Problem =
            Problem(
                type = "urn:egretlock:${verdict.reason.code}",
                title = verdict.reason.code.replace('-', ' '),
                status = status(verdict),
                detail = verdict.detail,
                verdict = verdict.code(),
                reason = verdict.reason.code,
                job = job,
                retryAfterMillis = (verdict as? Verdict.NotRun)?.retryAfterMillis,
            )

        private fun status(verdict: Verdict): Int =
            when (verdict) {
                is Verdict.NotRun -> notRunStatus(verdict.reason)
                is Verdict.MayHaveRun, is Verdict.Failed -> startedStatus(verdict.reason)
            }

        private fun startedStatus(reason: Reason): Int =
            when (reason) {
                Reason.CREATION_TIME -> HttpStatus.BAD_REQUEST
                Reason.DEADLINE -> HttpStatus.GATEWAY_TIMEOUT
                Reason.CANCELLED -> HttpStatus.GONE
                else -> HttpStatus.BAD_GATEWAY
            }

        private fun notRunStatus(reason: Reason): Int =
            when (reason) {
                Reason.MALFORMED -> HttpStatus.BAD_REQUEST
                Reason.UNKNOWN_TEAM, Reason.UNKNOWN_SERVICE -> HttpStatus.NOT_FOUND
                Reason.TOO_LARGE -> HttpStatus.CONTENT_TOO_LARGE
                Reason.IMPOSSIBLE -> HttpStatus.UNPROCESSABLE
                Reason.CONFLICTING_BODY -> HttpStatus.CONFLICT
                Reason.QUOTA -> HttpStatus.TOO_MANY_REQUESTS
                Reason.DEADLINE -> HttpStatus.GATEWAY_TIMEOUT
                Reason.CANCELLED -> HttpStatus.GONE
                else -> HttpStatus.UNAVAILABLE
            }
    }
}

/** Status codes that the entry's routes use. */
internal object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val CONFLICT = 409
    const val GONE = 410
    const val CONTENT_TOO_LARGE = 413
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val BAD_GATEWAY = 502
    const val UNAVAILABLE = 503
    const val GATEWAY_TIMEOUT = 504
}
