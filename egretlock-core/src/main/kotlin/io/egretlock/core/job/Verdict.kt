package io.egretlock.core.job

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reason why a request has no complete answer, and whether any task of it may have run. */
@Serializable
sealed interface Verdict {
    /** Machine-readable reason. */
    val reason: Reason

    /** Human-readable explanation, one sentence. */
    val detail: String

    /**
     * No task of the request has started, and none will start.
     *
     * @property retryAfterMillis time after which a retry is expected to succeed, in milliseconds; null if no retry is
     * expected to.
     */
    @Serializable
    @SerialName("not-run")
    data class NotRun(
        override val reason: Reason,
        override val detail: String,
        val retryAfterMillis: Long? = null,
    ) : Verdict

    /** At least one task may have started, and may still be running. */
    @Serializable
    @SerialName("may-have-run")
    data class MayHaveRun(
        override val reason: Reason,
        override val detail: String,
    ) : Verdict

    /** A task ran and failed. */
    @Serializable
    @SerialName("failed")
    data class Failed(
        override val reason: Reason,
        override val detail: String,
    ) : Verdict
}

/** Reasons for a verdict. [code] is stable and appears in answers and metrics. */
@Serializable
enum class Reason(
    val code: String,
) {
    MALFORMED("malformed"),
    CREATION_TIME("creation-time"),
    UNKNOWN_TEAM("unknown-team"),
    UNKNOWN_SERVICE("unknown-service"),
    TOO_LARGE("too-large"),
    NO_UPSTREAM("no-upstream"),
    IMPOSSIBLE("impossible"),
    CONFLICTING_BODY("conflicting-body"),
    OPERATION_CLOSED("operation-closed"),
    QUOTA("quota"),
    OVERLOADED("overloaded"),
    DRAINING("draining"),
    NO_AUTHORITY("no-authority"),
    HOME_LOST("home-lost"),
    RETENTION("retention"),
    AGENT_LOST("agent-lost"),
    UPSTREAM_LOST("upstream-lost"),
    UPSTREAM_FAILED("upstream-failed"),
    DEADLINE("deadline"),
    CANCELLED("cancelled"),
}
