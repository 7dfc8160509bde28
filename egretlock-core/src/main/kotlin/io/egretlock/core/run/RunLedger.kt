package io.egretlock.core.run

import io.egretlock.core.job.ProcessId
import kotlin.math.max

/**
 * The runs of the upstream beside an agent: which are taken, which must be stopped, and how each ended.
 *
 * The upstream's list of active and ended runs decides what has happened; answers to single orders only add to it, since
 * they can be lost and orders can be carried out late. The ledger has no input or output of its own. Times are in
 * milliseconds of a clock that never jumps, but for those that are named as times of the upstream's clock.
 */
class RunLedger {
    private val runs = LinkedHashMap<RunId, LedgerRun>()
    private val speedEstimate = SpeedEstimate()
    private val upstream = UpstreamView()
    private var isDraining = false
    private var isCleared = false
    private var wasCleared = false
    private var renewals = 0L

    /** Highest number of an end that was taken note of. */
    var lastEnd = 0L
        private set

    /** Number of runs that hold room. */
    val size: Int
        get() = runs.size

    /**
     * Deadline that the next renewal carries; null if it must not renew. A renewal extends the lease of all that runs, so
     * none is made while runs of an earlier agent may be at work or a stop stays without effect: these then lapse.
     */
    fun renewalDeadlineClockMillis(nowMillis: Long): Long? {
        val mayRenew = isCleared && runs.isNotEmpty() && runs.values.none { isStopOverdue(it, nowMillis) }
        return if (mayRenew) upstream.leaseDeadlineClockMillis else null
    }

    /**
     * Time that the next renewal may wait at the upstream for an end. Ends are heard of by these answers alone, so that a
     * lost one hides them until the renewal is given up; the wait is therefore short while anything runs.
     */
    val renewalWaitMillis: Long
        get() = if (runs.isEmpty()) IDLE_WAIT_MILLIS else BUSY_WAIT_MILLIS

    /** Report for the entries; null while no upstream can take or holds runs. */
    fun report(): UpstreamReport? {
        val known = upstream.status ?: return null
        if (!wasCleared) return null
        val used = runs.values.fold(Room.NONE) { sum, run -> sum + run.ordered.room }
        return UpstreamReport(
            upstream = "${known.life.name}@${known.life.startedAtMillis}",
            service = known.service,
            total = known.room,
            free = known.room - used,
            speed = speedEstimate.speed,
            accepting = !isDraining && !known.isDraining && upstream.leaseDeadlineClockMillis != null,
        )
    }

    /**
     * Takes note of a heartbeat. Heartbeats of an earlier life, or older than the last one, are ignored. What a new life
     * means for the runs is left to its next answer: some may have begun in it already.
     */
    fun announced(newStatus: UpstreamStatus) {
        if (upstream.announced(newStatus)) restarted(newStatus.life.startedAtMillis)
    }

    /**
     * The upstream [name] said that it ends. It gets no more runs; those at work end when it does, which its closed port or
     * its lease shows.
     */
    fun departed(name: String) {
        if (upstream.status?.life?.name == name) upstream.status = null
    }

    /** Takes no more runs. */
    fun drain() {
        isDraining = true
    }

    /** Takes or refuses the runs of [order]. */
    fun ordered(
        home: ProcessId,
        order: RunOrder,
        nowMillis: Long,
    ): List<LedgerEffect> = order.runs.flatMap { take(home, order, it, nowMillis) }

    /** Stops a run on its home's request. */
    fun stopRequested(
        run: RunId,
        nowMillis: Long,
    ): List<LedgerEffect> = listOfNotNull(runs[run]?.let { requestStop(it, RunEnd.STOPPED, nowMillis) })

    /** Stops all runs of a home that can't be reached: its callers may hand their jobs to another entry. */
    fun homeLost(
        home: ProcessId,
        nowMillis: Long,
    ): List<LedgerEffect> =
        runs.values.filter { it.home == home }.mapNotNull { requestStop(it, RunEnd.STOPPED, nowMillis) }

    /** Takes note of the answer to an order to start. */
    fun startAnswered(
        id: RunId,
        answer: StartAnswer,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val run = runs[id] ?: return emptyList()
        return when (answer) {
            StartAnswer.STARTED -> {
                if (run.confirmedAfterRenewal == null) run.confirmedAfterRenewal = renewals
                emptyList()
            }
            StartAnswer.UNANSWERED -> {
                if (run.confirmedAfterRenewal != null) return emptyList()
                listOfNotNull(requestStop(run, RunEnd.UNHEALTHY, nowMillis))
            }
            StartAnswer.NUMBER_USED -> finish(run, run.stopReason ?: RunEnd.NUMBER_USED, nowMillis)
            StartAnswer.UNHEALTHY -> finish(run, RunEnd.UNHEALTHY, nowMillis)
            StartAnswer.TOO_LATE, StartAnswer.NO_ROOM, StartAnswer.FENCED, StartAnswer.REFUSED ->
                finish(run, RunEnd.NOT_STARTED, nowMillis)
        }
    }

    /** Takes note of whether an order to stop was acknowledged. */
    fun stopAnswered(
        id: RunId,
        acknowledged: Boolean,
    ) {
        val run = runs[id] ?: return
        if (acknowledged && run.stoppedAfterRenewal == null) run.stoppedAfterRenewal = renewals
    }

    /** A renewal is about to be sent; returns its number. */
    fun renewing(): Long = ++renewals

    /** Takes note of the answer to renewal number [renewal]. */
    fun renewed(
        renewal: Long,
        answer: RenewalAnswer,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val effects = mutableListOf<LedgerEffect>()
        if (upstream.isOtherLife(answer)) restarted(answer.startedAtMillis)
        if (upstream.showsStandstill(answer)) effects += LedgerEffect.Disconnect
        upstream.answered(answer, nowMillis)
        answer.ended.sortedBy { it.sequence }.forEach { effects += ended(it, nowMillis) }
        effects += compare(renewal, answer.active, nowMillis)
        return effects
    }

    /** A renewal failed; [isGone] if the upstream's process is known to have ended. */
    fun renewalFailed(
        isGone: Boolean,
        nowMillis: Long,
    ): List<LedgerEffect> {
        if (isGone) {
            upstream.status = null
            return endAll(RunEnd.LOST, nowMillis)
        }
        val lapsed = nowMillis - upstream.answeredAtMillis > LAPSED_AFTER_MILLIS
        return if (lapsed) endAll(RunEnd.LOST, nowMillis) else emptyList()
    }

    /** Repeats stops without an acknowledgement. */
    fun tick(nowMillis: Long): List<LedgerEffect> =
        runs.values
            .filter { it.stopReason != null && it.stoppedAfterRenewal == null }
            .filter { nowMillis - it.stopSentAtMillis >= STOP_RETRY_MILLIS }
            .map { run ->
                run.stopSentAtMillis = nowMillis
                LedgerEffect.Stop(run.id)
            }

    private fun isStopOverdue(
        run: LedgerRun,
        nowMillis: Long,
    ): Boolean = run.stopReason != null && nowMillis - run.stopRequestedAtMillis > STOP_OVERDUE_MILLIS

    private fun take(
        home: ProcessId,
        order: RunOrder,
        ordered: OrderedRun,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val id = ordered.id(order.job)
        val others = runs.values.filter { it.id.task == id.task }
        val deadline = upstream.leaseDeadlineClockMillis
        if (deadline == null || others.isNotEmpty() || !hasRoom(ordered.room)) {
            val earlier = others.filter { it.id.number < ordered.number }
            val stops = earlier.mapNotNull { requestStop(it, RunEnd.STOPPED, nowMillis) }
            return stops + LedgerEffect.Tell(home, id, RunEnd.NOT_STARTED, 0.0)
        }
        runs[id] = LedgerRun(id, home, ordered, nowMillis)
        return listOf(LedgerEffect.Start(id, order.specification, deadline))
    }

    private fun hasRoom(demand: Room): Boolean = report()?.let { it.accepting && it.free.holds(demand) } ?: false

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

    private fun ended(
        end: EndedRun,
        nowMillis: Long,
    ): List<LedgerEffect> {
        lastEnd = max(lastEnd, end.sequence)
        val run = runs[end.run] ?: return emptyList()
        val told = if (end.end == RunEnd.STOPPED) run.stopReason ?: RunEnd.STOPPED else end.end
        return finish(run, told, nowMillis)
    }

    private fun compare(
        renewal: Long,
        active: List<ActiveRun>,
        nowMillis: Long,
    ): List<LedgerEffect> {
        val effects = mutableListOf<LedgerEffect>()
        val unknown = active.filter { it.run !in runs }
        unknown.forEach { effects += LedgerEffect.Stop(it.run) }
        isCleared = unknown.isEmpty()
        wasCleared = wasCleared || isCleared
        active.forEach { seen -> runs[seen.run]?.let { effects += atWork(it, seen.percent, nowMillis) } }
        val activeIds = active.mapTo(HashSet()) { it.run }
        for (run in runs.values.filter { it.id !in activeIds }) {
            val stopped = run.stoppedAfterRenewal?.let { it < renewal } ?: false
            val vanished = run.confirmedAfterRenewal?.let { it < renewal } ?: false
            if (stopped || vanished) effects += finish(run, run.stopReason ?: RunEnd.LOST, nowMillis)
        }
        return effects
    }

    private fun atWork(
        run: LedgerRun,
        percent: Int,
        nowMillis: Long,
    ): List<LedgerEffect> {
        if (run.confirmedAfterRenewal == null) run.confirmedAfterRenewal = renewals
        if (percent != run.percent) {
            run.percent = percent
            run.progressAtMillis = nowMillis
        }
        val allowed = max(STALL_MILLIS, run.ordered.expectedMillis / speedEstimate.speed * STALL_SHARE)
        val stalled = nowMillis - run.progressAtMillis > allowed
        return if (stalled) listOfNotNull(requestStop(run, RunEnd.STALLED, nowMillis)) else emptyList()
    }

    private fun finish(
        run: LedgerRun,
        end: RunEnd,
        nowMillis: Long,
    ): List<LedgerEffect> {
        runs.remove(run.id)
        val runMillis = (nowMillis - run.orderedAtMillis).toDouble()
        if (end == RunEnd.SUCCEEDED) speedEstimate.record(run.ordered.expectedMillis, runMillis)
        return listOf(LedgerEffect.Tell(run.home, run.id, end, runMillis))
    }

    private fun endAll(
        end: RunEnd,
        nowMillis: Long,
    ): List<LedgerEffect> = runs.values.toList().flatMap { finish(it, end, nowMillis) }

    private fun restarted(startedAtMillis: Long) {
        upstream.restarted(startedAtMillis)
        lastEnd = 0
    }

    companion object {
        /** Lease of everything that runs, in milliseconds of the upstream's clock: the longest that upstreams grant. */
        const val LEASE_MILLIS = 1_000L

        /** Time after the last answer when all leases have run out: [LEASE_MILLIS] on a clock that is 2 % slow. */
        const val LAPSED_AFTER_MILLIS = 1_030L

        /**
         * Longest gap between two answers of an upstream that answers normally: a renewal and one repetition. Shorter than
         * [LEASE_MILLIS], so that orders read after a longer one come too late for the upstream.
         */
        const val STANDSTILL_MILLIS = 800L

        /** Wait of a renewal while nothing runs; short enough that a lost answer does not let a lease run out. */
        const val IDLE_WAIT_MILLIS = 200L

        /** Wait of a renewal while something runs: less than the shortest tasks take, about 70 ms. */
        const val BUSY_WAIT_MILLIS = 50L

        /** Time for an acknowledgement of a stop; an upstream on the same machine answers within a few. */
        const val STOP_RETRY_MILLIS = 100L

        /** Time after which a stop without effect ends the renewals: three repetitions. */
        const val STOP_OVERDUE_MILLIS = 350L

        /** Shortest time without progress that counts as a stall; upstreams report progress in whole percents. */
        const val STALL_MILLIS = 700.0

        /** Share of the expected run time without progress that counts as a stall. */
        const val STALL_SHARE = 0.5
    }
}
