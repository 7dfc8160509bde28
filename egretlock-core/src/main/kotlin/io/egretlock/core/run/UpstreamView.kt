package io.egretlock.core.run

import kotlin.math.max

/** What an agent knows of the upstream beside it: its last heartbeat, its present life and its clock. */
internal class UpstreamView {
    private var life: Long? = null
    private var clockMillis: Long? = null

    /** Last heartbeat; null if the upstream has left, or is known to have ended. */
    var status: UpstreamStatus? = null

    /** When the upstream last answered, by the agent's clock. */
    var answeredAtMillis = 0L
        private set

    /**
     * Deadline of a lease that is as long as upstreams grant, counted from the upstream's last answer; null until its clock
     * is known. An agent that has stood still since that answer gives a deadline that has passed.
     */
    val leaseDeadlineClockMillis: Long?
        get() = clockMillis?.let { it + RunLedger.LEASE_MILLIS }

    /** Takes a heartbeat, unless it is older than what is known; returns whether it shows a restart. */
    fun announced(newStatus: UpstreamStatus): Boolean {
        val known = status
        if (known != null && isOlder(newStatus, known)) return false
        status = newStatus
        return life != null && life != newStatus.life.startedAtMillis
    }

    /** Whether [answer] comes from another life than the earlier ones. */
    fun isOtherLife(answer: RenewalAnswer): Boolean = life != null && life != answer.startedAtMillis

    /** Whether more of the upstream's time has passed since its last answer than an agent that runs lets pass. */
    fun showsStandstill(answer: RenewalAnswer): Boolean {
        val before = clockMillis ?: return false
        return answer.clockMillis - before > RunLedger.STANDSTILL_MILLIS
    }

    /** Takes the clock of [answer]. */
    fun answered(
        answer: RenewalAnswer,
        nowMillis: Long,
    ) {
        life = answer.startedAtMillis
        clockMillis = max(answer.clockMillis, clockMillis ?: 0)
        answeredAtMillis = nowMillis
    }

    /** A new life has begun; its clock is not known yet. */
    fun restarted(startedAtMillis: Long) {
        life = startedAtMillis
        clockMillis = null
    }

    private fun isOlder(
        newer: UpstreamStatus,
        known: UpstreamStatus,
    ): Boolean =
        newer.life.startedAtMillis < known.life.startedAtMillis ||
            (newer.life == known.life && newer.sequence <= known.sequence)
}
