package io.egretlock.testing.client

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** Result of one submission of a job, as the caller sees it. */
sealed interface JobReply {
    /** Status 200 with one answer for each task, in task order. */
    data class Complete(
        val job: String,
        val answers: List<JsonElement>,
    ) : JobReply

    /** A problem document with its verdict. */
    data class Refused(
        val status: Int,
        val problem: Problem,
        val retryAfterSeconds: Long?,
    ) : JobReply

    /** No connection could be opened, so the request was not sent. */
    data class Unreachable(
        val cause: String,
    ) : JobReply

    /** No complete answer arrived: the connection failed, or the body cannot be parsed. */
    data class Lost(
        val cause: String,
    ) : JobReply
}

/** Verdict of a problem document: whether the refused request may have run. */
@Serializable
enum class ProblemVerdict {
    @SerialName("not-run")
    NOT_RUN,

    @SerialName("may-have-run")
    MAY_HAVE_RUN,

    @SerialName("failed")
    FAILED,
}

/** A problem document (RFC 9457) with the extension members of this project. */
@Serializable
data class Problem(
    val title: String = "",
    val status: Int = 0,
    val detail: String = "",
    val reason: String = "",
    val verdict: ProblemVerdict,
)

/** Body of an answer with status 200. */
@Serializable
data class CompleteBody(
    val job: String,
    val state: String,
    val answers: List<JsonElement>,
)
