package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.RunFixtures.run
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RunLedgerTest {
    private val ledger = RunLedger()
    private val entry = ProcessId("entry", 1)
    private val other = ProcessId("other", 1)
    private var clock = 10_000L

    private fun status(
        startedAt: Long = 5,
        sequence: Long = 1,
        draining: Boolean = false,
        cores: Int = 4,
        name: String = "u",
    ) = UpstreamStatus(
        UpstreamIncarnation(name, startedAt),
        RunFixtures.service,
        "127.0.0.1:1",
        RunFixtures.room(cores),
        draining,
        sequence,
    )

    private fun answerRenewal(
        active: List<ActiveRun> = emptyList(),
        ended: List<EndedRun> = emptyList(),
        nowMillis: Long = 0,
        startedAt: Long = 5,
        clockMillis: Long = clock,
        number: Long = ledger.startRenewal(),
    ) = ledger.onRenewalAnswered(number, RenewalAnswer(startedAt, clockMillis, active, ended), nowMillis)

    private fun ready(cores: Int = 4) {
        ledger.onHeartbeat(status(cores = cores))
        answerRenewal()
    }

    private fun order(
        job: String = "a",
        number: Int = 1,
        from: ProcessId = entry,
        nowMillis: Long = 0,
        ageMillis: Long = 0,
        confirmWithinMillis: Long? = null,
    ): List<LedgerEffect> {
        val ordered = OrderedRun(0, 0, number, RunFixtures.core, 100.0)
        val order = RunOrder(1, JobId(job), "text", listOf(ordered), confirmWithinMillis)
        return ledger.onOrder(from, order, ageMillis, nowMillis)
    }

    private fun List<LedgerEffect>.reportedEnds() =
        filterIsInstance<LedgerEffect.ReportEnd>().map { it.entry to it.end }

    private fun List<LedgerEffect>.reportedEnd() = filterIsInstance<LedgerEffect.ReportEnd>().single().end

    @Test
    fun `renewals wait less while a run is active, so that a lost answer hides its end for a shorter time`() {
        ready()
        assertEquals(RunLedger.IDLE_WAIT_MILLIS, ledger.renewalWaitMillis)
        order()
        assertEquals(RunLedger.BUSY_WAIT_MILLIS, ledger.renewalWaitMillis)
        answerRenewal(ended = listOf(EndedRun(1, run("a"), RunEnd.SUCCEEDED)))
        assertEquals(RunLedger.IDLE_WAIT_MILLIS, ledger.renewalWaitMillis)
    }

    @Test
    fun `no upstream is reported before runs of an earlier agent have ended`() {
        ledger.onHeartbeat(status())
        assertNull(ledger.report())
        val stops = answerRenewal(active = listOf(ActiveRun(run("old"), 10)))
        assertEquals(listOf(LedgerEffect.Stop(run("old"))), stops)
        assertNull(ledger.report())
        answerRenewal()
        assertEquals(RunFixtures.room(4), ledger.report()?.free)
    }

    @Test
    fun `a run holds its room until its end is listed`() {
        ready()
        assertTrue(order().single() is LedgerEffect.Start)
        assertEquals(RunFixtures.room(3), ledger.report()?.free)
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 1)
        val end = answerRenewal(ended = listOf(EndedRun(1, run("a"), RunEnd.SUCCEEDED)), nowMillis = 100).reportedEnd()
        assertEquals(RunEnd.SUCCEEDED, end)
        assertEquals(RunFixtures.room(4), ledger.report()?.free)
        assertEquals(1, ledger.lastEnd)
    }

    @Test
    fun `an order is refused without a start if there is no room`() {
        ready(cores = 1)
        order("a")
        assertEquals(RunEnd.NOT_STARTED, order("b").reportedEnd())
    }

    /** Guards against a second run of a task by an order that was held up while its entry placed the task elsewhere. */
    @Test
    fun `an order that may be too old is refused without a start`() {
        ready()
        assertEquals(RunEnd.UNHEALTHY, order("a", ageMillis = RunOrder.VALID_MILLIS + 1).reportedEnd())
        assertTrue(order("b", ageMillis = RunOrder.VALID_MILLIS).single() is LedgerEffect.Start)
    }

    @Test
    fun `an order carries a deadline on the upstream's clock as of its last answer`() {
        ready()
        val start = order(nowMillis = 700).single() as LedgerEffect.Start
        assertEquals(clock + RunLedger.LEASE_MILLIS, start.deadlineClockMillis)
    }

    @Test
    fun `an order names the incarnation that it is meant for once its heartbeat has shown the name`() {
        ready()
        assertEquals("u", (order("a").single() as LedgerEffect.Start).upstream)
        answerRenewal(startedAt = 9, clockMillis = 3)
        assertNull((order("b").single() as LedgerEffect.Start).upstream)
    }

    @Test
    fun `a start that another incarnation refused has not started`() {
        ready()
        order()
        val effects = ledger.onStartAnswered(run("a"), StartAnswer.OTHER_INCARNATION, 10)
        assertEquals(RunEnd.NOT_STARTED, effects.reportedEnd())
    }

    @Test
    fun `an unanswered start is stopped, and its end is reported only once the upstream shows that it is over`() {
        ready()
        order()
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.onStartAnswered(run("a"), StartAnswer.UNANSWERED, 80))
        val earlierRenewal = ledger.startRenewal()
        ledger.onStopAnswered(run("a"), acknowledged = true)
        assertTrue(answerRenewal(nowMillis = 90, number = earlierRenewal).isEmpty())
        assertEquals(RunEnd.UNHEALTHY, answerRenewal(nowMillis = 100).reportedEnd())
    }

    @Test
    fun `a start whose answer was lost is not stopped if the upstream lists the run as active`() {
        ready()
        order()
        answerRenewal(active = listOf(ActiveRun(run("a"), 1)), nowMillis = 50)
        assertTrue(ledger.onStartAnswered(run("a"), StartAnswer.UNANSWERED, 80).isEmpty())
    }

    @Test
    fun `a run that is missing from the upstream's lists is reported as lost`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 1)
        assertEquals(RunEnd.LOST, answerRenewal(nowMillis = 50).reportedEnd())
    }

    @Test
    fun `a renewal that was sent before the start was confirmed does not show that the run is lost`() {
        ready()
        order()
        val number = ledger.startRenewal()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 1)
        assertTrue(answerRenewal(nowMillis = 5, number = number).isEmpty())
    }

    @Test
    fun `runs of an entry that can't be reached are stopped`() {
        ready()
        order("a")
        order("b", from = other)
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.onEntryLost(entry, 10))
    }

    @Test
    fun `an unacknowledged stop is repeated`() {
        ready()
        order()
        ledger.onEntryLost(entry, 0)
        assertTrue(ledger.tick(RunLedger.STOP_RETRY_MILLIS - 1).isEmpty())
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.tick(RunLedger.STOP_RETRY_MILLIS))
        ledger.onStopAnswered(run("a"), acknowledged = true)
        assertTrue(ledger.tick(10 * RunLedger.STOP_RETRY_MILLIS).isEmpty())
    }

    /** Guards against a second home that places a task elsewhere while the first run of it is still being stopped. */
    @Test
    fun `a second run of a task is not started while the first is active, and refused only once that is over`() {
        ready()
        order(number = 1)
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 0)
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), order(number = 2, from = other))
        assertTrue(answerRenewal(active = listOf(ActiveRun(run("a"), 1))).isEmpty())
        val ends = answerRenewal(ended = listOf(EndedRun(1, run("a"), RunEnd.STOPPED))).reportedEnds()
        assertEquals(listOf(entry to RunEnd.STOPPED, other to RunEnd.NOT_STARTED), ends)
    }

    @Test
    fun `a run that was refused because of another one is reported at once if its home stops it`() {
        ready()
        order(number = 2)
        assertTrue(order(number = 1, from = other).isEmpty())
        val ends = ledger.onStopRequested(run("a", number = 1), 0).reportedEnds()
        assertEquals(listOf(other to RunEnd.NOT_STARTED), ends)
        assertTrue(ledger.onStopRequested(run("a", number = 1), 0).isEmpty())
    }

    /** Guards against runs of an entry that stands still before the other entries have confirmed its job. */
    @Test
    fun `a run that is not confirmed in time is stopped, a confirmed one goes on`() {
        ready()
        order("a", confirmWithinMillis = 500)
        order("b", confirmWithinMillis = 500)
        listOf("a", "b").forEach { ledger.onStartAnswered(run(it), StartAnswer.STARTED, 0) }
        ledger.runs.confirm(entry, JobId("a"))
        ledger.runs.confirm(other, JobId("b"))
        assertTrue(ledger.tick(499).isEmpty())
        assertEquals(listOf(LedgerEffect.Stop(run("b"))), ledger.tick(500))
    }

    @Test
    fun `a restarted upstream has lost its runs and numbers ends from one`() {
        ready()
        order()
        answerRenewal(ended = listOf(EndedRun(7, run("x"), RunEnd.SUCCEEDED)), active = listOf(ActiveRun(run("a"), 1)))
        ledger.onHeartbeat(status(startedAt = 9))
        assertEquals(0, ledger.lastEnd)
        assertEquals(RunEnd.LOST, answerRenewal(startedAt = 9, clockMillis = 3).reportedEnd())
    }

    @Test
    fun `the lease is not renewed while runs of an earlier agent are active`() {
        ledger.onHeartbeat(status())
        answerRenewal(active = listOf(ActiveRun(run("old"), 10)))
        assertNull(ledger.renewalDeadlineClockMillis(10))
        answerRenewal()
        order()
        assertEquals(clock + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(20))
    }

    @Test
    fun `the lease is not renewed while a stop has no effect`() {
        ready()
        order("a")
        order("b", from = other)
        ledger.onEntryLost(entry, 0)
        assertEquals(clock + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(RunLedger.STOP_OVERDUE_MILLIS))
        assertNull(ledger.renewalDeadlineClockMillis(RunLedger.STOP_OVERDUE_MILLIS + 1))
    }

    @Test
    fun `a restart is handled once when a renewal answer shows it before the heartbeat`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 1)
        assertEquals(RunEnd.LOST, answerRenewal(startedAt = 9, clockMillis = 3).reportedEnd())
        ledger.onHeartbeat(status(startedAt = 9))
        order("b")
        assertEquals(3 + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(60))
    }

    /**
     * Guards against runs of a restarted upstream being reported as lost because of an answer to an earlier renewal. On
     * a randomized fault day of the platform's simulation (seed 84674656638), five tasks ran twice at a time after an
     * upstream restarted.
     */
    @Test
    fun `runs of a new incarnation are not reported as lost on its first answer`() {
        ready()
        ledger.onRenewalFailed(isConnectionRefused = true, 10)
        ledger.onHeartbeat(status(startedAt = 9))
        val earlierRenewal = ledger.startRenewal()
        assertEquals(RunEnd.NOT_STARTED, order(nowMillis = 20).reportedEnd())
        answerRenewal(startedAt = 9, clockMillis = 3)
        order(nowMillis = 30)
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 31)
        assertTrue(answerRenewal(startedAt = 9, clockMillis = 5, number = earlierRenewal).isEmpty())
        assertTrue(answerRenewal(startedAt = 9, clockMillis = 9, active = listOf(ActiveRun(run("a"), 1))).isEmpty())
    }

    @Test
    fun `a run that started in an incarnation first shown by an answer stays active`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 1)
        assertTrue(answerRenewal(startedAt = 9, clockMillis = 3, active = listOf(ActiveRun(run("a"), 1))).isEmpty())
    }

    /** Guards against an agent that ignores its own upstream for good after a later heartbeat of another one. */
    @Test
    fun `a heartbeat under another name counts only once that incarnation answers`() {
        ready()
        ledger.onHeartbeat(status(startedAt = 90, name = "other", cores = 1))
        ledger.onHeartbeat(status(sequence = 2, draining = true))
        assertEquals("u@5" to false, ledger.report()?.let { it.upstream to it.accepting })
        answerRenewal(startedAt = 90, clockMillis = 3)
        assertEquals("other@90", ledger.report()?.upstream)
    }

    @Test
    fun `a heartbeat of another upstream before the first answer gives way to that of the one that answers`() {
        ledger.onHeartbeat(status(startedAt = 90, name = "other"))
        answerRenewal()
        ledger.onHeartbeat(status())
        assertEquals("u@5", ledger.report()?.upstream)
    }

    @Test
    fun `heartbeats of an earlier incarnation and late heartbeats are ignored`() {
        ledger.onHeartbeat(status(startedAt = 9, sequence = 5))
        answerRenewal(startedAt = 9)
        ledger.onHeartbeat(status(startedAt = 5, sequence = 99, draining = true))
        ledger.onHeartbeat(status(startedAt = 9, sequence = 4, draining = true))
        assertEquals(true, ledger.report()?.accepting)
    }

    /** Guards against starts that are held back, and tokens that rise, by a heartbeat that was held up on its way. */

    @Test
    fun `a late heartbeat of an earlier incarnation does not undo a restart that an answer has shown`() {
        ready()
        answerRenewal(startedAt = 9)
        ledger.onHeartbeat(status(startedAt = 5, sequence = 2))
        assertEquals(9, ledger.upstreamStartedAtMillis)
    }

    /** Guards against a late start in an incarnation that has no record of the stop. */
    @Test
    fun `a stop that an earlier incarnation acknowledged ends no run`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.UNANSWERED, 80)
        ledger.onStopAnswered(run("a"), acknowledged = true)
        assertTrue(answerRenewal(startedAt = 9, clockMillis = 3, nowMillis = 100).isEmpty())
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.tick(80 + RunLedger.STOP_RETRY_MILLIS))
        ledger.onStopAnswered(run("a"), acknowledged = true)
        assertEquals(RunEnd.UNHEALTHY, answerRenewal(startedAt = 9, clockMillis = 9, nowMillis = 200).reportedEnd())
    }

    /** Guards against a deadline of an earlier incarnation, which lies in the future of the next one. */
    @Test
    fun `after a renewal without an answer no lease is renewed and none waits`() {
        ready()
        order()
        ledger.onRenewalFailed(isConnectionRefused = false, 200)
        assertNull(ledger.renewalDeadlineClockMillis(200))
        assertEquals(0, ledger.renewalWaitMillis)
        answerRenewal(active = listOf(ActiveRun(run("a"), 1)), nowMillis = 210)
        assertEquals(clock + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(210))
    }

    @Test
    fun `a draining upstream accepts no runs`() {
        ready()
        ledger.onHeartbeat(status(sequence = 2, draining = true))
        assertEquals(RunEnd.NOT_STARTED, order().reportedEnd())
    }

    @Test
    fun `runs of an upstream that announced its end are reported as lost only once it has ended`() {
        ready()
        order()
        ledger.onDeregistration("u")
        assertNull(ledger.report())
        assertTrue(answerRenewal(active = listOf(ActiveRun(run("a"), 50)), nowMillis = 10).isEmpty())
        val leaseEndMillis = 10 + RunLedger.LEASES_EXPIRED_AFTER_MILLIS
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = true, leaseEndMillis).isEmpty())
        assertEquals(
            RunEnd.LOST,
            ledger.onRenewalFailed(isConnectionRefused = true, leaseEndMillis + 1).reportedEnd(),
        )
    }

    /** Guards against two runs of a task at a time after the path to an upstream has refused connections. */
    @Test
    fun `a refused connection does not end a run whose lease lasts`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 0)
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = true, RunLedger.LEASES_EXPIRED_AFTER_MILLIS).isEmpty())
        assertEquals(
            RunEnd.LOST,
            ledger
                .onRenewalFailed(isConnectionRefused = true, RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1)
                .reportedEnd(),
        )
    }

    @Test
    fun `a run goes on after a short time in which connections were refused`() {
        ready()
        order()
        ledger.onRenewalFailed(isConnectionRefused = true, 100)
        assertTrue(answerRenewal(active = listOf(ActiveRun(run("a"), 50)), nowMillis = 300).isEmpty())
        val end = answerRenewal(ended = listOf(EndedRun(1, run("a"), RunEnd.SUCCEEDED)), nowMillis = 400).reportedEnd()
        assertEquals(RunEnd.SUCCEEDED, end)
    }

    @Test
    fun `an upstream that refuses connections gets no runs until its next answer, whatever its heartbeats report`() {
        ready()
        ledger.onRenewalFailed(isConnectionRefused = true, 10)
        ledger.onHeartbeat(status(sequence = 2))
        assertNull(ledger.report())
        assertEquals(RunEnd.NOT_STARTED, order(nowMillis = 20).reportedEnd())
        answerRenewal(nowMillis = 30)
        assertEquals(true, ledger.report()?.accepting)
    }

    @Test
    fun `an upstream whose clock is not known yet accepts no runs`() {
        ready()
        ledger.onHeartbeat(status(startedAt = 9))
        assertEquals(false, ledger.report()?.accepting)
        answerRenewal(startedAt = 9, clockMillis = 3)
        assertEquals(true, ledger.report()?.accepting)
    }

    @Test
    fun `leases have expired when the upstream does not answer for longer than they last`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 0)
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = false, RunLedger.LEASES_EXPIRED_AFTER_MILLIS).isEmpty())
        assertEquals(
            RunEnd.LOST,
            ledger
                .onRenewalFailed(
                    isConnectionRefused = false,
                    RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1,
                ).reportedEnd(),
        )
    }

    /** Guards against a start that is carried out after its run was reported as lost and its task was placed elsewhere. */
    @Test
    fun `a run whose start may still be carried out is not reported as lost when the upstream falls silent`() {
        ready()
        order()
        val silentMillis = RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = false, silentMillis).isEmpty())
        ledger.onStartAnswered(run("a"), StartAnswer.UNANSWERED, silentMillis)
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = false, silentMillis + 1).isEmpty())
        ledger.onRenewalFailed(isConnectionRefused = false, 2 * silentMillis).reportedEnd()
    }

    /** Guards against a start that waits for a connection and is sent to the upstream's next incarnation. */
    @Test
    fun `a start is due only for a wanted run, in the incarnation that it was accepted for, before its deadline`() {
        ready()
        order("a")
        order("b")
        assertTrue(ledger.isStartDue(run("a"), RunLedger.LEASE_MILLIS))
        assertFalse(ledger.isStartDue(run("a"), RunLedger.LEASE_MILLIS + 1))
        ledger.onStopRequested(run("a"), 10)
        assertFalse(ledger.isStartDue(run("a"), 10))
        assertEquals(RunEnd.STOPPED, ledger.onStartAnswered(run("a"), StartAnswer.NOT_SENT, 10).reportedEnd())
        assertFalse(ledger.isStartDue(run("a"), 10))

        assertTrue(ledger.isStartDue(run("b"), 10))
        ledger.onHeartbeat(status(startedAt = 9))
        assertFalse(ledger.isStartDue(run("b"), 10))
        assertEquals(RunEnd.NOT_STARTED, ledger.onStartAnswered(run("b"), StartAnswer.NOT_SENT, 10).reportedEnd())
    }

    /** Guards against a lease that a start took in the upstream's next incarnation, after its last answer to a renewal. */
    @Test
    fun `a lease lasts from the end of the start if no renewal was answered since`() {
        ready()
        order()
        ledger.onStartAnswered(run("a"), StartAnswer.STARTED, 900)
        val expiredMillis = 900 + RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1
        assertTrue(ledger.onRenewalFailed(isConnectionRefused = false, expiredMillis - 1).isEmpty())
        assertEquals(RunEnd.LOST, ledger.onRenewalFailed(isConnectionRefused = false, expiredMillis).reportedEnd())
    }

    @Test
    fun `an upstream that leaves a renewal and its repetition unanswered gets no runs until its next answer`() {
        ready()
        ledger.onRenewalFailed(isConnectionRefused = false, 350)
        assertEquals(true, ledger.report()?.accepting)
        ledger.onRenewalFailed(isConnectionRefused = false, 700)
        assertNull(ledger.report())
        assertEquals(RunEnd.NOT_STARTED, order(nowMillis = 700).reportedEnd())
        answerRenewal(nowMillis = 710)
        assertEquals(true, ledger.report()?.accepting)
    }

    @Test
    fun `connections are closed when the upstream's clock shows that the agent was paused`() {
        ready()
        val effects = answerRenewal(clockMillis = clock + RunLedger.MAX_ANSWER_GAP_MILLIS + 1)
        assertEquals(listOf<LedgerEffect>(LedgerEffect.Disconnect), effects)
    }

    @Test
    fun `an order that is read after a pause misses its deadline at the upstream`() {
        assertTrue(RunLedger.MAX_ANSWER_GAP_MILLIS < RunLedger.LEASE_MILLIS)
    }

    @Test
    fun `a run without progress is stopped as stalled`() {
        ready()
        order()
        answerRenewal(active = listOf(ActiveRun(run("a"), 5)), nowMillis = 100)
        val late = 101 + RunLedger.STALL_MILLIS.toLong()
        val effects = answerRenewal(active = listOf(ActiveRun(run("a"), 5)), nowMillis = late)
        assertEquals(listOf<LedgerEffect>(LedgerEffect.Stop(run("a"))), effects)
        assertEquals(
            RunEnd.STALLED,
            answerRenewal(ended = listOf(EndedRun(1, run("a"), RunEnd.STOPPED)), nowMillis = late + 10).reportedEnd(),
        )
    }
}
