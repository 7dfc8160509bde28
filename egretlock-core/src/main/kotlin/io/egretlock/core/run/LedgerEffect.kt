package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/** What a [RunLedger] asks its agent to do. */
sealed interface LedgerEffect {
    /** Order the upstream to start [run] before [deadlineClockMillis] of the upstream's clock. */
    data class Start(
        val run: RunId,
        val specification: String,
        val deadlineClockMillis: Long,
    ) : LedgerEffect

    /** Order the upstream to stop [run]. */
    data class Stop(
        val run: RunId,
    ) : LedgerEffect

    /** Tell [home] that its run has ended. */
    data class Tell(
        val home: ProcessId,
        val run: RunId,
        val end: RunEnd,
        val runMillis: Double,
    ) : LedgerEffect

    /** Close the connections to all entries: this process stood still, and orders that it has not read are out of date. */
    data object Disconnect : LedgerEffect
}
