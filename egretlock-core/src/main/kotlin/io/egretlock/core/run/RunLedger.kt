package io.egretlock.core.run

import io.egretlock.core.job.ProcessId
import kotlin.math.max

/**
 * State of the runs on an agent's upstream: which are accepted, which are to be stopped, and how each ended.
 *
 * The upstream's lists of active and ended runs are authoritative; answers to single orders only complement them, since
 * answers can be lost and orders can be carried out late. The ledger does no input or output. Times are in milliseconds
 * of a monotonic clock, except those named `clockMillis`, which are times of the upstream's clock.
 */
class RunLedger {
    /** Runs that were accepted and have not ended. */
    val runs = LedgerRuns()
    private val speedEstimate = SpeedEstimate()
    private val upstream = UpstreamView()
    private var isDraining = false

    private val deferredRefusals = DeferredRefusals()

    /** Whether the last answer to a renewal listed no active run that is missing from [runs]. */
    private var isUpstreamCleared = false

    /** Whether [isUpstreamCleared] has been true at any time. */
    private var wasUpstreamCleared = false

    /** Number of the last renewal. */
    private var lastRenewal = 0L

    /** Highest sequence number of the ends that were recorded; 0 after the upstream has restarted. */
    var lastEnd = 0L
        private set

    /** Start time of the upstream's current incarnation; null until it is known. */
    val upstreamStartedAtMillis: Long?
        get() = upstream.currentStartedAtMillis

    /** Whether the last renewal was answered. */
    val isUpstreamAnswering: Boolean
        get() = upstream.isAnswering

    /** Time of the upstream's last answer to a renewal. */
    val answeredAtMillis: Long
        get() = upstream.answeredAtMillis

    /**
     * Returns the deadline that the next renewal carries; null if it must not renew the lease. A renewal extends the
     * lease of all active runs, so there is none while runs of an earlier agent may be active or a stop has no effect;
     * the lease of those runs then expires. There is none either after a renewal without an answer, since the deadline
     * would lie in the future of an incarnation that has started meanwhile.
     */
    fun renewalDeadlineClockMillis(nowMillis: Long): Long? {
        val mayRenew =
            isUpstreamCleared && upstream.isAnswering && runs.size > 0 && runs.all.none { it.isStopOverdue(nowMillis) }
        return if (mayRenew) upstream.leaseDeadlineClockMillis else null
    }

    /**
     * Longest time for which the upstream holds the next renewal until a run ends. Ends are reported only by the
     * answers to renewals, so a lost answer hides them until the renewal times out; the wait is therefore short while
     * runs are active. After a renewal without an answer there is no wait.
     */
    val renewalWaitMillis: Long
        get() =
            when {
                !upstream.isAnswering -> 0
                runs.size == 0 -> IDLE_WAIT_MILLIS
                else -> BUSY_WAIT_MILLIS
            }

    /**
     * Returns the report for the entries; null if no upstream is known, if it is unreachable, or if runs of an earlier
     * agent may still be active.
     */
    fun report(): UpstreamReport? {
        val status = upstream.status ?: return null
        if (!wasUpstreamCleared || upstream.isUnreachable) return null
        return UpstreamReport(
            upstream = "${status.incarnation.name}@${status.incarnation.startedAtMillis}",
            service = status.service,
            total = status.room,
            free = status.room - runs.room,
            speed = speedEstimate.speed,
            accepting = !isDraining && !status.isDraining && upstream.leaseDeadlineClockMillis != null,
        )
    }

    /**
     * Records a heartbeat. Heartbeats of an earlier incarnation of the upstream, or older than the last one, are
     * ignored. A new incarnation does not end the runs yet, since some may have started in it already; its next answer
     * shows which.
     */
    fun onHeartbeat(newStatus: UpstreamStatus) {
        if (upstream.onHeartbeat(newStatus)) resetAfterRestart(newStatus.incarnation.startedAtMillis)
    }

    /**
     * Records that the upstream [name] announced that it ends. It gets no more runs. Its active runs end with it; they
     * are reported as lost once their lease has expired.
     */
    fun onDeregistration(name: String) {
        if (upstream.status?.incarnation?.name == name) upstream.status = null
    }

    /** Stops accepting runs. */
    fun drain() {
        isDraining = true
    }

    /**
     * Accepts or refuses each run of [order].
     *
     * @param ageMillis time for which the order may have been on its way. Its entry may have placed the tasks elsewhere
     * if that exceeds [RunOrder.VALID_MILLIS].
     */
    fun onOrder(
        entry: ProcessId,
        order: RunOrder,
        ageMillis: Long,
        nowMillis: Long,
    ): List<LedgerEffect> {
        if (ageMillis > RunOrder.VALID_MILLIS) {
            return order.runs.map {
                LedgerEffect.ReportEnd(entry, it.id(order.job), RunEnd.UNHEALTHY, 0.0, EndCause.ORDER_TOO_OLD)
            }
        }
        return order.runs.flatMap { acceptOrRefuse(entry, order, it, nowMillis) }
    }

    /** Stops a run at the request of the entry that ordered it. */
    fun onStopRequested(
        run: RunId,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val active = runs[run] ?: return deferredRefusals.remove(run)
        return listOfNotNull(requestStop(active, RunEnd.STOPPED, nowMillis))
    }

    /**
     * Stops all runs that [entry] ordered, after its connection was lost: callers may submit their jobs to another
     * entry.
     */
    fun onEntryLost(
        entry: ProcessId,
        nowMillis: Long,
    ): List<LedgerEffect> = runs.orderedBy(entry).mapNotNull { requestStop(it, RunEnd.STOPPED, nowMillis) }

    /**
     * Whether the order to start [id] may be sent now: its run is wanted, and the upstream has neither restarted nor
     * been silent beyond the order's deadline since the run was accepted.
     */
    fun isStartDue(
        id: RunId,
        nowMillis: Long,
    ): Boolean {
        val run = runs[id] ?: return false
        return run.stopReason == null &&
            run.confirmedAfterRenewal == null &&
            run.upstreamStartedAtMillis == upstream.currentStartedAtMillis &&
            nowMillis - upstream.answeredAtMillis <= LEASE_MILLIS
    }

    /** Records the answer to an order to start a run. */
    fun onStartAnswered(
        id: RunId,
        answer: StartAnswer,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val run = runs[id] ?: return emptyList()
        run.startEndedAtMillis = nowMillis
        return when (answer) {
            StartAnswer.STARTED -> {
                if (run.confirmedAfterRenewal == null) run.confirmedAfterRenewal = lastRenewal
                emptyList()
            }
            StartAnswer.UNANSWERED -> {
                if (run.confirmedAfterRenewal != null) return emptyList()
                listOfNotNull(requestStop(run, RunEnd.UNHEALTHY, nowMillis))
            }
            StartAnswer.NUMBER_USED ->
                finish(run, run.stopReason ?: RunEnd.NUMBER_USED, EndCause.START_REFUSED, nowMillis)
            StartAnswer.UNHEALTHY -> finish(run, RunEnd.UNHEALTHY, EndCause.START_REFUSED, nowMillis)
            StartAnswer.TOO_LATE, StartAnswer.NO_ROOM, StartAnswer.FENCED, StartAnswer.OTHER_INCARNATION,
            StartAnswer.REFUSED,
            ->
                finish(run, RunEnd.NOT_STARTED, EndCause.START_REFUSED, nowMillis)
            StartAnswer.NOT_SENT ->
                finish(run, run.stopReason ?: RunEnd.NOT_STARTED, EndCause.START_NOT_SENT, nowMillis)
        }
    }

    /** Records whether an order to stop a run was acknowledged. */
    fun onStopAnswered(
        id: RunId,
        acknowledged: Boolean,
    ) {
        val run = runs[id] ?: return
        if (acknowledged && run.stoppedAfterRenewal == null) run.stoppedAfterRenewal = lastRenewal
    }

    /** Returns the number of a renewal that is about to be sent. */
    fun startRenewal(): Long = ++lastRenewal

    /** Records the answer to the renewal with number [renewal]. */
    fun onRenewalAnswered(
        renewal: Long,
        answer: RenewalAnswer,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val effects = mutableListOf<LedgerEffect>()
        if (upstream.isOtherIncarnation(answer)) resetAfterRestart(answer.startedAtMillis)
        if (upstream.showsProcessPause(answer)) effects += LedgerEffect.Disconnect
        upstream.answered(answer, nowMillis)
        answer.ended.sortedBy { it.sequence }.forEach { effects += recordEnd(it, nowMillis) }
        effects += reconcileActiveRuns(renewal, answer.active, nowMillis)
        return effects
    }

    /**
     * Records that a renewal failed; [isConnectionRefused] if its connection was refused. That does not show that the
     * upstream has ended: a broken path refuses connections too, while the runs go on until their leases expire. A run
     * whose start is pending is not over then either, since the start may reach the upstream's next incarnation.
     */
    fun onRenewalFailed(
        isConnectionRefused: Boolean,
        nowMillis: Long,
    ): List<LedgerEffect> {
        upstream.renewalFailed(isConnectionRefused)
        val lost = runs.all.filter { it.hasLeaseExpired(upstream.answeredAtMillis, nowMillis) }
        return lost.flatMap { finish(it, it.stopReason ?: RunEnd.LOST, EndCause.LEASE_EXPIRED, nowMillis) }
    }

    /** Stops runs that were not confirmed in time, and repeats orders to stop that were not acknowledged. */
    fun tick(nowMillis: Long): List<LedgerEffect> {
        val unconfirmed = runs.all.filter { run -> run.confirmUntilMillis?.let { it <= nowMillis } ?: false }
        val stops = unconfirmed.mapNotNull { requestStop(it, RunEnd.STOPPED, nowMillis) }
        val unacknowledged =
            runs.all
                .filter { it.stopReason != null && it.stoppedAfterRenewal == null }
                .filter { nowMillis - it.stopSentAtMillis >= STOP_RETRY_MILLIS }
        unacknowledged.forEach { it.stopSentAtMillis = nowMillis }
        return stops + unacknowledged.map { LedgerEffect.Stop(it.id) }
    }

    private fun acceptOrRefuse(
        entry: ProcessId,
        order: RunOrder,
        ordered: OrderedRun,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val id = ordered.id(order.job)
        val others = runs.ofTask(id.task)
        val deadline = upstream.leaseDeadlineClockMillis
        val refusal = if (others.isNotEmpty()) EndCause.OTHER_RUN else refusal(ordered.room)
        if (deadline == null || refusal != null) {
            val report = LedgerEffect.ReportEnd(entry, id, RunEnd.NOT_STARTED, 0.0, refusal ?: EndCause.NOT_ACCEPTING)
            return if (others.isEmpty()) listOf(report) else deferRefusal(report, others, nowMillis)
        }
        val confirmUntil = order.confirmWithinMillis?.let { nowMillis + it }
        runs.add(LedgerRun(id, entry, ordered, nowMillis, upstream.currentStartedAtMillis, confirmUntil))
        return listOf(LedgerEffect.Start(id, order.specification, deadline, upstream.currentName))
    }

    /**
     * Refuses a run because of [others] of the same task and stops those of them with lower numbers. The refusal is
     * reported only once they are over, since its entry places the task elsewhere then.
     */
    private fun deferRefusal(
        refusal: LedgerEffect.ReportEnd,
        others: List<LedgerRun>,
        nowMillis: Long,
    ): List<LedgerEffect> {
        deferredRefusals.add(refusal)
        val earlier = others.filter { it.id.number < refusal.run.number }
        return earlier.mapNotNull { requestStop(it, RunEnd.STOPPED, nowMillis) }
    }

    private fun refusal(demand: Room): EndCause? {
        val report = report()?.takeIf { it.accepting } ?: return EndCause.NOT_ACCEPTING
        return if (report.free.canHold(demand)) null else EndCause.NO_ROOM
    }

    private fun requestStop(
        run: LedgerRun,
        reason: RunEnd,
        nowMillis: Long,
    ): LedgerEffect? {
        if (run.stopReason != null) return null
        run.stopReason = reason
        run.stopRequestedAtMillis = nowMillis
        run.stopSentAtMillis = nowMillis
        return LedgerEffect.Stop(run.id)
    }

    private fun recordEnd(
        end: EndedRun,
        nowMillis: Long,
    ): List<LedgerEffect> {
        lastEnd = max(lastEnd, end.sequence)
        val run = runs[end.run] ?: return emptyList()
        val reportedEnd = if (end.end == RunEnd.STOPPED) run.stopReason ?: RunEnd.STOPPED else end.end
        return finish(run, reportedEnd, EndCause.LISTED, nowMillis)
    }

    private fun reconcileActiveRuns(
        renewal: Long,
        active: List<ActiveRun>,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val effects = mutableListOf<LedgerEffect>()
        val unknown = active.filter { it.run !in runs }
        unknown.forEach { effects += LedgerEffect.Stop(it.run) }
        isUpstreamCleared = unknown.isEmpty()
        wasUpstreamCleared = wasUpstreamCleared || isUpstreamCleared
        active.forEach { seen -> runs[seen.run]?.let { effects += recordProgress(it, seen.percent, nowMillis) } }
        val activeIds = active.mapTo(HashSet()) { it.run }
        for (run in runs.all.filter { it.id !in activeIds && !it.isStartPending }) {
            val isStopped = run.stoppedAfterRenewal?.let { it < renewal } ?: false
            val hasVanished = run.confirmedAfterRenewal?.let { it < renewal } ?: false
            if (isStopped || hasVanished) {
                effects += finish(run, run.stopReason ?: RunEnd.LOST, EndCause.NOT_LISTED, nowMillis)
            }
        }
        return effects
    }

    private fun recordProgress(
        run: LedgerRun,
        percent: Int,
        nowMillis: Long,
    ): List<LedgerEffect> {
        if (run.confirmedAfterRenewal == null) run.confirmedAfterRenewal = lastRenewal
        if (percent != run.percent) {
            run.percent = percent
            run.progressAtMillis = nowMillis
        }
        val allowedMillis = max(STALL_MILLIS, run.ordered.expectedMillis / speedEstimate.speed * STALL_SHARE)
        val isStalled = nowMillis - run.progressAtMillis > allowedMillis
        return if (isStalled) listOfNotNull(requestStop(run, RunEnd.STALLED, nowMillis)) else emptyList()
    }

    private fun finish(
        run: LedgerRun,
        end: RunEnd,
        cause: EndCause,
        nowMillis: Long,
    ): List<LedgerEffect> {
        runs.remove(run)
        val runMillis = (nowMillis - run.orderedAtMillis).toDouble()
        if (end == RunEnd.SUCCEEDED) speedEstimate.record(run.ordered.expectedMillis, runMillis)
        val task = run.id.task
        val refusals = if (runs.ofTask(task).isEmpty()) deferredRefusals.removeAll(task) else emptyList()
        return listOf(LedgerEffect.ReportEnd(run.entry, run.id, end, runMillis, cause)) + refusals
    }

    private fun resetAfterRestart(startedAtMillis: Long) {
        upstream.restarted(startedAtMillis)
        lastEnd = 0
        runs.all.forEach { it.stoppedAfterRenewal = null }
    }

    companion object {
        /** Lease of all active runs, in milliseconds of the upstream's clock: the longest that upstreams grant. */
        const val LEASE_MILLIS = 1_000L

        /**
         * Time since the last answer after which all leases have expired: [LEASE_MILLIS] on a clock that is 2 % slow.
         */
        const val LEASES_EXPIRED_AFTER_MILLIS = 1_030L

        /**
         * Longest time between two answers of the upstream while the agent runs normally: a renewal and one repetition.
         * A longer time shows that the agent's process was paused. Shorter than [LEASE_MILLIS], so that orders that are
         * read after a longer pause miss their deadline at the upstream.
         */
        const val MAX_ANSWER_GAP_MILLIS = 800L

        /** Longest wait of a renewal while no run is active; short enough that no lease expires after a lost answer. */
        const val IDLE_WAIT_MILLIS = 200L

        /** Longest wait of a renewal while runs are active: less than the shortest tasks take, about 70 ms. */
        const val BUSY_WAIT_MILLIS = 50L

        /**
         * Time after which an unacknowledged stop is repeated; an upstream on the same machine answers within a few ms.
         */
        const val STOP_RETRY_MILLIS = 100L

        /** Time after which a stop without effect prevents renewals; allows for three repetitions. */
        const val STOP_OVERDUE_MILLIS = 350L

        /** Shortest time without progress that counts as a stall. Upstreams report progress in whole percent. */
        const val STALL_MILLIS = 700.0

        /** Share of the expected run time without progress that counts as a stall. */
        const val STALL_SHARE = 0.5
    }
}
