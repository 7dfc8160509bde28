package io.egretlock.core.run

/**
 * Orders of an agent to its upstream. Each is idempotent, and a missing answer is a result rather than an exception.
 */
interface UpstreamOrders {
    /**
     * Orders a run to start; the upstream refuses if the order arrives after [deadlineClockMillis] of its clock. That
     * does not protect against a late arrival in the upstream's next incarnation, whose clock starts anew. So the order
     * names the incarnation [upstream] that it is meant for, if its name is known, and although it may wait for a
     * connection, it is sent only if [isDue] still holds.
     */
    suspend fun start(
        run: RunId,
        specification: String,
        deadlineClockMillis: Long,
        fencingToken: Long,
        upstream: String?,
        isDue: () -> Boolean,
    ): StartAnswer

    /** Orders a run to stop, or never to start, and returns whether the order was acknowledged. */
    suspend fun stop(
        run: RunId,
        fencingToken: Long,
    ): StopAnswer

    /**
     * Renews the lease of all active runs until [deadlineClockMillis] of the upstream's clock, discards the ends with
     * sequence numbers up to [lastEnd], and waits up to [waitMillis] for another end. Without a deadline no lease is
     * renewed.
     */
    suspend fun renew(
        deadlineClockMillis: Long?,
        lastEnd: Long,
        waitMillis: Long,
        fencingToken: Long,
    ): RenewalResult
}

/** Result of an order to stop a run. */
enum class StopAnswer { ACKNOWLEDGED, FENCED, UNANSWERED }

/** Result of a renewal. */
sealed interface RenewalResult {
    /** The upstream answered. */
    data class Answered(
        val answer: RenewalAnswer,
    ) : RenewalResult

    /** The upstream has seen a higher fencing token. */
    data object Fenced : RenewalResult

    /** No answer arrived, or it can't be parsed. */
    data object Unanswered : RenewalResult

    /** The connection was refused, by the upstream's instance or on the path to it. */
    data object ConnectionRefused : RenewalResult
}
