package io.egretlock.core.run

import io.egretlock.core.job.ProcessId
import kotlin.math.max

/**
 * State of a run in a [RunLedger]. The run holds its room until the upstream has shown that it is over.
 *
 * @property confirmUntilMillis time at which the run is stopped, unless its entry has confirmed it; null if it has.
 * @property upstreamStartedAtMillis start time of the incarnation of the upstream that the run was accepted for.
 */
internal class LedgerRun(
    val id: RunId,
    val entry: ProcessId,
    val ordered: OrderedRun,
    val orderedAtMillis: Long,
    val upstreamStartedAtMillis: Long?,
    var confirmUntilMillis: Long? = null,
) {
    /** Time at which the call to start the run ended, with or without an answer; null until then. */
    var startEndedAtMillis: Long? = null

    /** Whether the call to start the run may still be carried out, in whichever incarnation of the upstream. */
    val isStartPending: Boolean
        get() = startEndedAtMillis == null && confirmedAfterRenewal == null

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

    /** Whether a stop that was requested has had no effect for too long. */
    fun isStopOverdue(nowMillis: Long): Boolean =
        stopReason != null && nowMillis - stopRequestedAtMillis > RunLedger.STOP_OVERDUE_MILLIS

    /**
     * Whether the run is over because neither its start nor a renewal can have given it a lease that lasts until now.
     *
     * @param answeredAtMillis time of the upstream's last answer to a renewal.
     */
    fun hasLeaseExpired(
        answeredAtMillis: Long,
        nowMillis: Long,
    ): Boolean {
        val lastLeaseAtMillis = max(answeredAtMillis, startEndedAtMillis ?: 0)
        return !isStartPending && nowMillis - lastLeaseAtMillis > RunLedger.LEASES_EXPIRED_AFTER_MILLIS
    }
}
