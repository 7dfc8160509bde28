package io.egretlock.core.run

import kotlin.math.max

/** State that an agent knows of its upstream: the last heartbeat, the current incarnation and the clock. */
internal class UpstreamView {
    private var clockMillis: Long? = null
    private var answeredStartedAtMillis: Long? = null
    private var isRefusingConnections = false
    private var failedRenewals = 0

    /** Start time of the current incarnation; null until an answer or a restart has shown it. */
    var currentStartedAtMillis: Long? = null
        private set

    /** Whether the last renewal was answered. */
    val isAnswering: Boolean
        get() = failedRenewals == 0

    /** Last heartbeat; null if none was received or if the upstream has announced its end. */
    var status: UpstreamStatus? = null

    /** Last heartbeat under another name of an incarnation that has not answered yet. */
    private var successor: UpstreamStatus? = null

    /** Name of the current incarnation; null until its heartbeat has shown it. */
    val currentName: String?
        get() = status?.incarnation?.takeIf { it.startedAtMillis == currentStartedAtMillis }?.name

    /**
     * Whether the upstream can't be expected to answer an order: it has refused a connection since its last answer, or
     * left a renewal and its repetition unanswered.
     */
    val isUnreachable: Boolean
        get() = isRefusingConnections || failedRenewals >= UNREACHABLE_AFTER_RENEWALS

    /** Time of the upstream's last answer, by the agent's clock. */
    var answeredAtMillis = 0L
        private set

    /**
     * Deadline of the longest lease that upstreams grant, counted from the upstream's last answer; null until its clock
     * is known. If the agent's process was paused since that answer, the deadline has passed.
     */
    val leaseDeadlineClockMillis: Long?
        get() = clockMillis?.let { it + RunLedger.LEASE_MILLIS }

    /**
     * Records a heartbeat, unless it is older than the last one or from an earlier incarnation than the last answer;
     * returns whether it shows a restart. A heartbeat under another name than that of the incarnation that answers may
     * come from any sender; it counts only once an answer has shown that incarnation.
     */
    fun onHeartbeat(newStatus: UpstreamStatus): Boolean {
        val known = status
        val answered = answeredStartedAtMillis
        val startedAtMillis = newStatus.incarnation.startedAtMillis
        if (answered != null && startedAtMillis < answered) return false
        val isKnownCurrent = known != null && known.incarnation.startedAtMillis == answered
        if (isKnownCurrent && startedAtMillis != answered && known?.incarnation?.name != newStatus.incarnation.name) {
            successor = newStatus
            return false
        }
        val replacesForeign = startedAtMillis == answered && !isKnownCurrent
        if (known != null && !replacesForeign && isOlder(newStatus, known)) return false
        status = newStatus
        return currentStartedAtMillis != null && currentStartedAtMillis != startedAtMillis
    }

    /** Whether [answer] comes from another incarnation than the earlier answers. */
    fun isOtherIncarnation(answer: RenewalAnswer): Boolean =
        currentStartedAtMillis != null && currentStartedAtMillis != answer.startedAtMillis

    /**
     * Whether so much time of the upstream's clock has passed since its last answer that this process must have been
     * paused.
     */
    fun showsProcessPause(answer: RenewalAnswer): Boolean {
        val previousClockMillis = clockMillis ?: return false
        return answer.clockMillis - previousClockMillis > RunLedger.MAX_ANSWER_GAP_MILLIS
    }

    /** Records the incarnation and the clock of [answer]. */
    fun answered(
        answer: RenewalAnswer,
        nowMillis: Long,
    ) {
        currentStartedAtMillis = answer.startedAtMillis
        answeredStartedAtMillis = answer.startedAtMillis
        clockMillis = max(answer.clockMillis, clockMillis ?: 0)
        answeredAtMillis = nowMillis
        successor?.takeIf { it.incarnation.startedAtMillis == answer.startedAtMillis }?.let { status = it }
        isRefusingConnections = false
        failedRenewals = 0
    }

    /** Records that a renewal got no answer; [isConnectionRefused] if its connection was refused. */
    fun renewalFailed(isConnectionRefused: Boolean) {
        failedRenewals++
        if (isConnectionRefused) isRefusingConnections = true
    }

    /** Records that a new incarnation has started, whose clock is not known yet. */
    fun restarted(startedAtMillis: Long) {
        currentStartedAtMillis = startedAtMillis
        clockMillis = null
    }

    private fun isOlder(
        newer: UpstreamStatus,
        known: UpstreamStatus,
    ): Boolean =
        newer.incarnation.startedAtMillis < known.incarnation.startedAtMillis ||
            (newer.incarnation == known.incarnation && newer.sequence <= known.sequence)

    private companion object {
        const val UNREACHABLE_AFTER_RENEWALS = 2
    }
}
