package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/** A run in the books of a [RunLedger]. It holds its room until the upstream has shown that it is over. */
internal class LedgerRun(
    val id: RunId,
    val home: ProcessId,
    val ordered: OrderedRun,
    val orderedAtMillis: Long,
) {
    /** Last renewal sent before the upstream confirmed that the run is at work; null until then. */
    var confirmedAfterRenewal: Long? = null

    /** What its home is told once a requested stop has ended it; null while no stop is requested. */
    var stopReason: RunEnd? = null

    /** Last renewal sent before the upstream acknowledged the stop; null until then. */
    var stoppedAfterRenewal: Long? = null
    var stopRequestedAtMillis = 0L
    var stopSentAtMillis = 0L
    var percent = 0
    var progressAtMillis = orderedAtMillis
}
