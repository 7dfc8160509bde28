package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/** Action that a [RunLedger] requests from its agent. */
sealed interface LedgerEffect {
    /**
     * Order the upstream to start [run]; the upstream refuses it after [deadlineClockMillis] of its own clock. [upstream]
     * names the incarnation that it is meant for; null if its name is not known.
     */
    data class Start(
        val run: RunId,
        val specification: String,
        val deadlineClockMillis: Long,
        val upstream: String?,
    ) : LedgerEffect

    /** Order the upstream to stop [run]. */
    data class Stop(
        val run: RunId,
    ) : LedgerEffect

    /** Report to the entry [entry], which ordered [run], that the run has ended; [cause] says what showed that. */
    data class ReportEnd(
        val entry: ProcessId,
        val run: RunId,
        val end: RunEnd,
        val runMillis: Double,
        val cause: EndCause,
    ) : LedgerEffect

    /**
     * Close the connections to all entries: this process was paused, and orders that it has not read are out of date.
     */
    data object Disconnect : LedgerEffect
}
