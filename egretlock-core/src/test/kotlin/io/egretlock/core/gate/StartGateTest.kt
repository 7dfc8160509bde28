package io.egretlock.core.gate

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StartGateTest {
    private val gate = StartGate(GateLimits(retentionMillis = 100, maxRecords = 2, maxKeptCharacters = 4))
    private val entry = ProcessId("entry-1", 1)
    private val other = ProcessId("entry-2", 1)
    private val task = TaskId(JobId("job"), 0)
    private val first = TaskAttempt(task, 1)
    private val second = TaskAttempt(task, 2)
    private val outcome = TaskOutcome.Succeeded("true")

    @Test
    fun `given a started task, when any attempt of it is started again, then it is a duplicate`() {
        assertEquals(StartDecision.ADMITTED, gate.start(entry, first, 0))
        assertEquals(StartDecision.DUPLICATE, gate.start(entry, first, 1))
        assertEquals(StartDecision.DUPLICATE, gate.start(other, second, 1))
    }

    @Test
    fun `given a finished and acknowledged task, when it is started again, then it is a duplicate`() {
        gate.start(entry, first, 0)
        gate.finish(task, outcome, 5, 5)
        gate.acknowledge(entry, listOf(task), 6)
        assertEquals(StartDecision.DUPLICATE, gate.start(entry, second, 7))
        assertEquals(emptyList<OwnedAnswer>(), gate.unacknowledged)
    }

    @Test
    fun `given a revoked attempt, when it or an earlier one is started, then it is refused and a later one admitted`() {
        assertFalse(gate.revoke(second, 0))
        assertEquals(StartDecision.REFUSED, gate.start(entry, second, 1))
        assertEquals(StartDecision.REFUSED, gate.start(entry, first, 1))
        assertEquals(StartDecision.ADMITTED, gate.start(entry, TaskAttempt(task, 3), 1))
    }

    @Test
    fun `given a running attempt, when revoked, then it is reported as started and an earlier one is not`() {
        gate.start(entry, second, 0)
        assertTrue(gate.revoke(second, 1))
        assertFalse(gate.revoke(first, 1))
        assertTrue(gate.isRunning(task))
    }

    @Test
    fun `given an unseen attempt, when reconciled, then it is reported as never seen and never starts`() {
        assertEquals(listOf(AttemptStatus(first, AttemptState.NEVER_SEEN)), gate.reconcile(entry, listOf(first), 0))
        assertEquals(StartDecision.REFUSED, gate.start(entry, first, 1))
        assertEquals(listOf(AttemptStatus(first, AttemptState.REVOKED)), gate.reconcile(entry, listOf(first), 2))
    }

    @Test
    fun `given a running task, when another entry reconciles it, then that entry owns the answer`() {
        gate.start(entry, first, 0)
        assertEquals(listOf(AttemptStatus(first, AttemptState.RUNNING)), gate.reconcile(other, listOf(first), 1))
        assertEquals(OwnedAnswer(first, other, outcome, 5), gate.finish(task, outcome, 5, 5))
        gate.acknowledge(entry, listOf(task), 6)
        assertEquals(listOf(OwnedAnswer(first, other, outcome, 5)), gate.unacknowledged)
    }

    @Test
    fun `given a later attempt running, when an earlier one is reconciled, then it is revoked`() {
        gate.start(entry, second, 0)
        assertEquals(listOf(AttemptStatus(first, AttemptState.REVOKED)), gate.reconcile(entry, listOf(first), 1))
    }

    @Test
    fun `given a dropped answer, when reconciled, then it is finished with a retention verdict`() {
        gate.start(entry, first, 0)
        gate.finish(task, outcome, 5, 5)
        gate.acknowledge(entry, listOf(task), 6)
        assertEquals(listOf(AttemptStatus(first, AttemptState.FINISHED)), gate.reconcile(other, listOf(first), 7))
        val verdict = Verdict.MayHaveRun(Reason.RETENTION, "The agent no longer keeps the task's answer.")
        val expected = OwnedAnswer(first, other, TaskOutcome.Ended(verdict), 0)
        assertEquals(listOf(expected), gate.answers(other, listOf(first)))
    }

    @Test
    fun `given a task that the upstream did not receive, when its call ends, then only a later attempt may start`() {
        gate.start(entry, first, 0)
        gate.markNotStarted(task, 1)
        assertEquals(StartDecision.REFUSED, gate.start(entry, first, 2))
        assertEquals(StartDecision.ADMITTED, gate.start(entry, second, 2))
    }

    @Test
    fun `given a revoked attempt, when the retention period is over, then its record is removed`() {
        gate.revoke(first, 0)
        gate.expire(99)
        assertEquals(1, gate.size)
        gate.expire(100)
        assertEquals(0, gate.size)
    }

    @Test
    fun `given a running task, when the retention period is over, then its record is kept`() {
        gate.start(entry, first, 0)
        gate.expire(1_000)
        assertEquals(StartDecision.DUPLICATE, gate.start(entry, second, 1_000))
    }

    @Test
    fun `given an unacknowledged answer, when the retention period is over, then it is dropped before the record`() {
        gate.start(entry, first, 0)
        gate.finish(task, outcome, 5, 5)
        gate.expire(105)
        assertEquals(emptyList<OwnedAnswer>(), gate.unacknowledged)
        assertEquals(StartDecision.DUPLICATE, gate.start(entry, second, 105))
    }

    @Test
    fun `given the maximum of records, when another task is started, then it is refused`() {
        gate.start(entry, first, 0)
        gate.start(entry, TaskAttempt(TaskId(JobId("job"), 1), 1), 0)
        assertEquals(StartDecision.REFUSED, gate.start(entry, TaskAttempt(TaskId(JobId("job"), 2), 1), 0))
    }

    @Test
    fun `given the maximum of kept answers, when another task is started, then it is refused until acknowledged`() {
        gate.start(entry, first, 0)
        gate.finish(task, outcome, 5, 5)
        val next = TaskAttempt(TaskId(JobId("job"), 1), 1)
        assertEquals(StartDecision.REFUSED, gate.start(entry, next, 6))
        gate.acknowledge(entry, listOf(task), 7)
        assertEquals(StartDecision.ADMITTED, gate.start(entry, next, 8))
    }

    @Test
    fun `given an answer owned by an earlier incarnation, when the entry has restarted, then the answer is dropped`() {
        gate.start(entry, first, 0)
        gate.finish(task, outcome, 5, 5)
        gate.supersedeEarlierIncarnations(other, 6)
        assertEquals(1, gate.unacknowledged.size)
        gate.supersedeEarlierIncarnations(entry.copy(incarnation = 2), 6)
        assertEquals(0, gate.unacknowledged.size)
    }

    @Test
    fun `given a task of an earlier incarnation, when the entry has restarted, then its answer is not kept`() {
        gate.start(entry, first, 0)
        assertEquals(listOf(task), gate.supersedeEarlierIncarnations(entry.copy(incarnation = 2), 1))
        assertNull(gate.finish(task, outcome, 5, 5))
        assertEquals(emptyList<OwnedAnswer>(), gate.unacknowledged)
        assertEquals(StartDecision.DUPLICATE, gate.start(entry, second, 6))
    }

    @Test
    fun `given a task that is not running, when it finishes, then no answer is kept`() {
        assertNull(gate.finish(task, outcome, 5, 5))
    }
}
