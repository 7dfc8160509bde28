package io.egretlock.core.run

/** The orders that an agent gives to the upstream beside it. Each may be given twice; none throws for a missing answer. */
interface UpstreamOrders {
    /** Orders a run to start, if the order arrives before [deadlineClockMillis] of the upstream's clock. */
    suspend fun start(
        run: RunId,
        specification: String,
        deadlineClockMillis: Long,
        fencingToken: Long,
    ): StartAnswer

    /** Orders a run to stop, or never to start; returns whether that was acknowledged. */
    suspend fun stop(
        run: RunId,
        fencingToken: Long,
    ): StopAnswer

    /**
     * Renews the lease of everything that runs until [deadlineClockMillis] of the upstream's clock, discards ends up to
     * [lastEnd], and waits up to [waitMillis] for another end. Without a deadline it only asks.
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

    /** No answer, or one that can't be read. */
    data object Unanswered : RenewalResult

    /** Nothing listens at the upstream's address: its process has ended. */
    data object Gone : RenewalResult
}
