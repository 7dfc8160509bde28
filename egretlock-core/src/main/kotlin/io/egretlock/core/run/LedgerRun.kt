package io.egretlock.core.run

import io.egretlock.core.job.ProcessId

/** State of a run in a [RunLedger]. The run holds its room until the upstream has shown that it is over. */
internal class LedgerRun(
    val id: RunId,
    val entry: ProcessId,
    val ordered: OrderedRun,
    val orderedAtMillis: Long,
) {
    /** Number of the last renewal sent before the upstream confirmed that the run is active; null until then. */
    var confirmedAfterRenewal: Long? = null

    /** End that is reported to [entry] once a requested stop has taken effect; null while no stop is requested. */
    var stopReason: RunEnd? = null

    /** Number of the last renewal sent before the upstream acknowledged the stop; null until then. */
    var stoppedAfterRenewal: Long? = null
    var stopRequestedAtMillis = 0L
    var stopSentAtMillis = 0L
    var percent = 0
    var progressAtMillis = orderedAtMillis
}
