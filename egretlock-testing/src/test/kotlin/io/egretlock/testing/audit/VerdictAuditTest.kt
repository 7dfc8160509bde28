package io.egretlock.testing.audit

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.client.JobTask
import io.egretlock.testing.client.Problem
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.upstream.TaskStart
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonPrimitive
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class VerdictAuditTest {
    private val tasks = listOf(JobTask("check", true, JsonPrimitive(1)), JobTask("check", true, JsonPrimitive(2)))
    private val job = JobRequest("haddad", "beatday-booking", deadlineMillis = 1_000, tasks = tasks)

    @Test
    fun `given complete answers and single starts, when audited, then there is no violation`() {
        val reply = complete("""{"task":"a:0","echo":1}""", """{"task":"a:1","echo":2}""")
        assertEquals(emptyList<Violation>(), audit(reply, "a:0", "a:1"))
    }

    @Test
    fun `given a task started twice, when audited, then it is reported`() {
        assertEquals(listOf(Violation.DoubleStart("a:0", 2)), audit(JobReply.Lost("reset"), "a:0", "a:0"))
    }

    @Test
    fun `given not run after a start, when audited, then the started task is reported`() {
        val expected = listOf(Violation.FalseNotRun("a", listOf("a:1")))
        assertEquals(expected, audit(refused(ProblemVerdict.NOT_RUN), "a:1"))
    }

    @Test
    fun `given failed without a start, when audited, then the job is reported`() {
        assertEquals(listOf(Violation.FalseFailed("a")), audit(refused(ProblemVerdict.FAILED)))
    }

    @Test
    fun `given a missing answer, when audited, then the answer count is wrong`() {
        val expected = listOf(Violation.WrongAnswerCount("a", answers = 1, tasks = 2))
        assertEquals(expected, audit(complete("""{"task":"a:0","echo":1}"""), "a:0", "a:1"))
    }

    @Test
    fun `given another job's answer, when audited, then it is a mismatch`() {
        val expected = listOf(Violation.MismatchedAnswer("a", 1, """{"task":"b:1","echo":2}"""))
        val reply = complete("""{"task":"a:0","echo":1}""", """{"task":"b:1","echo":2}""")
        assertEquals(expected, audit(reply, "a:0", "a:1"))
    }

    @Test
    fun `given an answer and a failure for one job, when audited, then they contradict each other`() {
        val reply = complete("""{"task":"a:0","echo":1}""", """{"task":"a:1","echo":2}""")
        val submissions = listOf(reply, refused(ProblemVerdict.FAILED)).map { Submission("a", job, it) }
        val expected = listOf(Violation.ContradictoryReplies("a", setOf("complete", "failed")))
        assertEquals(expected, VerdictAudit(submissions, starts("a:0", "a:1")).violations())
    }

    @Test
    fun `given not run and a resubmission that ran, when audited, then the started task is reported`() {
        val refused = Submission("a", job, refused(ProblemVerdict.NOT_RUN))
        val lost = Submission("a", job, JobReply.Lost("reset"))
        val expected = listOf(Violation.FalseNotRun("a", listOf("a:0")))
        assertEquals(expected, VerdictAudit(listOf(refused, lost), starts("a:0")).violations())
    }

    @Test
    fun `given not run and an answer for one job, when audited, then they contradict each other`() {
        val reply = complete("""{"task":"a:0","echo":1}""", """{"task":"a:1","echo":2}""")
        val submissions = listOf(reply, refused(ProblemVerdict.NOT_RUN)).map { Submission("a", job, it) }
        val expected = Violation.ContradictoryReplies("a", setOf("complete", "not-run"))
        assertTrue(expected in VerdictAudit(submissions, starts("a:0", "a:1")).violations())
    }

    private fun audit(
        reply: JobReply,
        vararg started: String,
    ): List<Violation> = VerdictAudit(listOf(Submission("a", job, reply)), starts(*started)).violations()

    private fun starts(vararg tasks: String): List<TaskStart> =
        tasks.map { TaskStart(it, "check", startedAtMillis = 0) }

    private fun complete(vararg answers: String): JobReply =
        JobReply.Complete("a", answers.map { Json.parseToJsonElement(it) })

    private fun refused(verdict: ProblemVerdict): JobReply =
        JobReply.Refused(status = 503, problem = Problem(verdict = verdict), retryAfterSeconds = 1)
}
