package io.egretlock.testing.audit

/** A promise of the system that a run broke. */
sealed interface Violation {
    /** A task was started more than once. */
    data class DoubleStart(
        val task: String,
        val starts: Int,
    ) : Violation

    /** A caller was told that nothing ran, but [tasks] were started. */
    data class FalseNotRun(
        val job: String,
        val tasks: List<String>,
    ) : Violation

    /** A caller was told that a task ran and failed, but none was started. */
    data class FalseFailed(
        val job: String,
    ) : Violation

    /** A complete answer lacks answers, or has too many. */
    data class PartialAnswer(
        val job: String,
        val answers: Int,
        val tasks: Int,
    ) : Violation

    /** The answer at [index] belongs to another task. */
    data class CrossedAnswer(
        val job: String,
        val index: Int,
        val answer: String,
    ) : Violation

    /** A caller was given both an answer and "failed" for the same job. */
    data class ContradictoryReplies(
        val job: String,
        val verdicts: Set<String>,
    ) : Violation
}
