package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.RunFixtures.run
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RunLedgerTest {
    private val ledger = RunLedger()
    private val home = ProcessId("entry", 1)
    private val other = ProcessId("other", 1)
    private var clock = 10_000L

    private fun status(
        startedAt: Long = 5,
        sequence: Long = 1,
        draining: Boolean = false,
        cores: Int = 4,
    ) = UpstreamStatus(
        UpstreamLife("u", startedAt),
        RunFixtures.service,
        "127.0.0.1:1",
        RunFixtures.room(cores),
        draining,
        sequence,
    )

    private fun renewed(
        active: List<ActiveRun> = emptyList(),
        ended: List<EndedRun> = emptyList(),
        nowMillis: Long = 0,
        startedAt: Long = 5,
        clockMillis: Long = clock,
        number: Long = ledger.renewing(),
    ) = ledger.renewed(number, RenewalAnswer(startedAt, clockMillis, active, ended), nowMillis)

    private fun ready(cores: Int = 4) {
        ledger.announced(status(cores = cores))
        renewed()
    }

    private fun order(
        job: String = "a",
        number: Int = 1,
        from: ProcessId = home,
        nowMillis: Long = 0,
    ): List<LedgerEffect> {
        val ordered = OrderedRun(0, 0, number, RunFixtures.core, 100.0)
        return ledger.ordered(from, RunOrder(1, JobId(job), "text", listOf(ordered)), nowMillis)
    }

    private fun List<LedgerEffect>.told() = filterIsInstance<LedgerEffect.Tell>().single().end

    @Test
    fun `renewals wait less while something runs, so that a lost answer hides its end for a shorter time`() {
        ready()
        assertEquals(RunLedger.IDLE_WAIT_MILLIS, ledger.renewalWaitMillis)
        order()
        assertEquals(RunLedger.BUSY_WAIT_MILLIS, ledger.renewalWaitMillis)
        renewed(ended = listOf(EndedRun(1, run("a"), RunEnd.SUCCEEDED)))
        assertEquals(RunLedger.IDLE_WAIT_MILLIS, ledger.renewalWaitMillis)
    }

    @Test
    fun `no upstream is reported before runs of an earlier agent are gone`() {
        ledger.announced(status())
        assertNull(ledger.report())
        val stops = renewed(active = listOf(ActiveRun(run("old"), 10)))
        assertEquals(listOf(LedgerEffect.Stop(run("old"))), stops)
        assertNull(ledger.report())
        renewed()
        assertEquals(RunFixtures.room(4), ledger.report()?.free)
    }

    @Test
    fun `a run holds its room until its end is listed`() {
        ready()
        assertTrue(order().single() is LedgerEffect.Start)
        assertEquals(RunFixtures.room(3), ledger.report()?.free)
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 1)
        val told = renewed(ended = listOf(EndedRun(1, run("a"), RunEnd.SUCCEEDED)), nowMillis = 100).told()
        assertEquals(RunEnd.SUCCEEDED, told)
        assertEquals(RunFixtures.room(4), ledger.report()?.free)
        assertEquals(1, ledger.lastEnd)
    }

    @Test
    fun `an order without room is refused and starts nothing`() {
        ready(cores = 1)
        order("a")
        assertEquals(RunEnd.NOT_STARTED, order("b").told())
    }

    @Test
    fun `an order carries a deadline on the upstream's clock as of its last answer`() {
        ready()
        val start = order(nowMillis = 700).single() as LedgerEffect.Start
        assertEquals(clock + RunLedger.LEASE_MILLIS, start.deadlineClockMillis)
    }

    @Test
    fun `a start without an answer is stopped, and its end told only when the upstream shows that it is over`() {
        ready()
        order()
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.startAnswered(run("a"), StartAnswer.UNANSWERED, 80))
        val early = ledger.renewing()
        ledger.stopAnswered(run("a"), acknowledged = true)
        assertTrue(renewed(nowMillis = 90, number = early).isEmpty())
        assertEquals(RunEnd.UNHEALTHY, renewed(nowMillis = 100).told())
    }

    @Test
    fun `a start whose answer was lost goes on when the upstream lists the run`() {
        ready()
        order()
        renewed(active = listOf(ActiveRun(run("a"), 1)), nowMillis = 50)
        assertTrue(ledger.startAnswered(run("a"), StartAnswer.UNANSWERED, 80).isEmpty())
    }

    @Test
    fun `a run that vanished from the lists is told as lost`() {
        ready()
        order()
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 1)
        assertEquals(RunEnd.LOST, renewed(nowMillis = 50).told())
    }

    @Test
    fun `a renewal that was sent before the start was confirmed does not show that the run vanished`() {
        ready()
        order()
        val number = ledger.renewing()
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 1)
        assertTrue(renewed(nowMillis = 5, number = number).isEmpty())
    }

    @Test
    fun `runs of a home that can't be reached are stopped`() {
        ready()
        order("a")
        order("b", from = other)
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.homeLost(home, 10))
    }

    @Test
    fun `a stop without an acknowledgement is repeated`() {
        ready()
        order()
        ledger.homeLost(home, 0)
        assertTrue(ledger.tick(RunLedger.STOP_RETRY_MILLIS - 1).isEmpty())
        assertEquals(listOf(LedgerEffect.Stop(run("a"))), ledger.tick(RunLedger.STOP_RETRY_MILLIS))
        ledger.stopAnswered(run("a"), acknowledged = true)
        assertTrue(ledger.tick(10 * RunLedger.STOP_RETRY_MILLIS).isEmpty())
    }

    @Test
    fun `a second run of a task does not start beside the first`() {
        ready()
        order(number = 1)
        val effects = order(number = 2, from = other)
        assertTrue(LedgerEffect.Stop(run("a")) in effects)
        assertEquals(RunEnd.NOT_STARTED, effects.told())
    }

    @Test
    fun `a restarted upstream has lost its runs and counts ends from one`() {
        ready()
        order()
        renewed(ended = listOf(EndedRun(7, run("x"), RunEnd.SUCCEEDED)), active = listOf(ActiveRun(run("a"), 1)))
        ledger.announced(status(startedAt = 9))
        assertEquals(0, ledger.lastEnd)
        assertEquals(RunEnd.LOST, renewed(startedAt = 9, clockMillis = 3).told())
    }

    @Test
    fun `nothing is renewed while runs of an earlier agent are at work`() {
        ledger.announced(status())
        renewed(active = listOf(ActiveRun(run("old"), 10)))
        assertNull(ledger.renewalDeadlineClockMillis(10))
        renewed()
        order()
        assertEquals(clock + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(20))
    }

    @Test
    fun `nothing is renewed while a stop stays without effect`() {
        ready()
        order("a")
        order("b", from = other)
        ledger.homeLost(home, 0)
        assertEquals(clock + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(RunLedger.STOP_OVERDUE_MILLIS))
        assertNull(ledger.renewalDeadlineClockMillis(RunLedger.STOP_OVERDUE_MILLIS + 1))
    }

    @Test
    fun `a restart that a renewal shows first is taken note of once`() {
        ready()
        order()
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 1)
        assertEquals(RunEnd.LOST, renewed(startedAt = 9, clockMillis = 3).told())
        ledger.announced(status(startedAt = 9))
        order("b")
        assertEquals(3 + RunLedger.LEASE_MILLIS, ledger.renewalDeadlineClockMillis(60))
    }

    /** Seed 84674656638 of the first site's mixed days: five tasks ran twice at a time after an upstream came back. */
    @Test
    fun `runs of a new life are not told as lost when its first answer comes`() {
        ready()
        ledger.renewalFailed(isGone = true, 10)
        ledger.announced(status(startedAt = 9))
        val waiting = ledger.renewing()
        assertEquals(RunEnd.NOT_STARTED, order(nowMillis = 20).told())
        renewed(startedAt = 9, clockMillis = 3)
        order(nowMillis = 30)
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 31)
        assertTrue(renewed(startedAt = 9, clockMillis = 5, number = waiting).isEmpty())
        assertTrue(renewed(startedAt = 9, clockMillis = 9, active = listOf(ActiveRun(run("a"), 1))).isEmpty())
    }

    @Test
    fun `a run that began in a life that only its answer shows goes on`() {
        ready()
        order()
        ledger.startAnswered(run("a"), StartAnswer.STARTED, 1)
        assertTrue(renewed(startedAt = 9, clockMillis = 3, active = listOf(ActiveRun(run("a"), 1))).isEmpty())
    }

    @Test
    fun `heartbeats of an earlier life and late heartbeats are ignored`() {
        ledger.announced(status(startedAt = 9, sequence = 5))
        renewed(startedAt = 9)
        ledger.announced(status(startedAt = 5, sequence = 99, draining = true))
        ledger.announced(status(startedAt = 9, sequence = 4, draining = true))
        assertEquals(true, ledger.report()?.accepting)
    }

    @Test
    fun `a draining upstream takes no runs`() {
        ready()
        ledger.announced(status(sequence = 2, draining = true))
        assertEquals(RunEnd.NOT_STARTED, order().told())
    }

    @Test
    fun `runs of an upstream that says that it ends are told as lost only when it has ended`() {
        ready()
        order()
        ledger.departed("u")
        assertNull(ledger.report())
        assertTrue(renewed(active = listOf(ActiveRun(run("a"), 50)), nowMillis = 10).isEmpty())
        assertEquals(RunEnd.LOST, ledger.renewalFailed(isGone = true, 20).told())
    }

    @Test
    fun `an upstream whose clock is not known yet takes no runs`() {
        ready()
        ledger.announced(status(startedAt = 9))
        assertEquals(false, ledger.report()?.accepting)
        renewed(startedAt = 9, clockMillis = 3)
        assertEquals(true, ledger.report()?.accepting)
    }

    @Test
    fun `leases have run out when the upstream is silent for longer than they last`() {
        ready()
        order()
        assertTrue(ledger.renewalFailed(isGone = false, RunLedger.LAPSED_AFTER_MILLIS).isEmpty())
        assertEquals(RunEnd.LOST, ledger.renewalFailed(isGone = false, RunLedger.LAPSED_AFTER_MILLIS + 1).told())
    }

    @Test
    fun `connections are closed when the upstream's clock shows that the agent stood still`() {
        ready()
        val effects = renewed(clockMillis = clock + RunLedger.STANDSTILL_MILLIS + 1)
        assertEquals(listOf<LedgerEffect>(LedgerEffect.Disconnect), effects)
    }

    @Test
    fun `an order that is read after a standstill comes too late for the upstream`() {
        assertTrue(RunLedger.STANDSTILL_MILLIS < RunLedger.LEASE_MILLIS)
    }

    @Test
    fun `a run without progress is stopped as stalled`() {
        ready()
        order()
        renewed(active = listOf(ActiveRun(run("a"), 5)), nowMillis = 100)
        val late = 101 + RunLedger.STALL_MILLIS.toLong()
        val effects = renewed(active = listOf(ActiveRun(run("a"), 5)), nowMillis = late)
        assertEquals(listOf<LedgerEffect>(LedgerEffect.Stop(run("a"))), effects)
        assertEquals(
            RunEnd.STALLED,
            renewed(ended = listOf(EndedRun(1, run("a"), RunEnd.STOPPED)), nowMillis = late + 10).told(),
        )
    }
}
