package io.egretlock.testing.audit

/** A violation of a guarantee of the system. */
sealed interface Violation {
    /** A task was started more than once. */
    data class DoubleStart(
        val task: String,
        val starts: Int,
    ) : Violation

    /** The verdict was "not run", but [tasks] were started. */
    data class FalseNotRun(
        val job: String,
        val tasks: List<String>,
    ) : Violation

    /** The verdict was "failed", but no task was started. */
    data class FalseFailed(
        val job: String,
    ) : Violation

    /** A complete reply has fewer or more answers than the job has tasks. */
    data class WrongAnswerCount(
        val job: String,
        val answers: Int,
        val tasks: Int,
    ) : Violation

    /** The answer at [index] is not that of the task at this index. */
    data class MismatchedAnswer(
        val job: String,
        val index: Int,
        val answer: String,
    ) : Violation

    /** Replies to submissions of the same job have verdicts that exclude each other. */
    data class ContradictoryReplies(
        val job: String,
        val verdicts: Set<String>,
    ) : Violation
}
