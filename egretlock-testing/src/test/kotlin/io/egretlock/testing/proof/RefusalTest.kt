package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import io.egretlock.testing.upstream.UpstreamMode
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test

class RefusalTest {
    @AfterEach
    fun resetFaults() = system.agents.forEach { it.upstream.changeMode(UpstreamMode.NORMAL) }

    @Test
    fun `given no JSON, when submitted, then status 400 and not run`() = assertNotRun(400, "malformed", "{")

    @Test
    fun `given an unknown field, when submitted, then status 400 and not run`() =
        assertNotRun(400, "malformed", body(extra = ""","priority":1"""))

    @Test
    fun `given no tasks, when submitted, then status 400 and not run`() =
        assertNotRun(400, "malformed", body(tasks = ""))

    @Test
    fun `given a deadline of zero, when submitted, then status 400 and not run`() =
        assertNotRun(400, "malformed", body(deadlineMillis = 0))

    @Test
    fun `given an id without time and no creation time, when submitted, then status 400 and not run`() =
        assertNotRun(400, "malformed", body(), id = "booking-7")

    @Test
    fun `given an id from the future, when submitted, then status 400 and may have run, as a later repetition may`() {
        val createdAt = System.currentTimeMillis() + 3_600_000
        assertRefused("400 may-have-run creation-time", body(extra = ""","createdAt":$createdAt"""), id = "booking-8")
    }

    @Test
    fun `given an unknown team, when submitted, then status 404 and not run`() =
        assertNotRun(404, "unknown-team", body(team = "nobody"))

    @Test
    fun `given a service that the team does not have, when submitted, then status 404 and not run`() =
        assertNotRun(404, "unknown-service", body(service = "beatday-booking"))

    @Test
    fun `given more tasks than the team may send, when submitted, then status 413 and not run`() =
        assertNotRun(413, "too-large", body(tasks = List(261) { TASK }.joinToString(",")))

    @Test
    fun `given a body above the limit, when submitted, then status 413 and not run`() =
        assertNotRun(413, "too-large", body(tasks = task(payload = "\"${"x".repeat(5_000_000)}\"")))

    @Test
    fun `given a service that nobody announces, when submitted, then it is refused as not run`() {
        val refused = refusal(body(service = "bolt-scan"))
        assertEquals(503, refused.status)
        assertEquals(ProblemVerdict.NOT_RUN, refused.problem.verdict)
        assertEquals("no-upstream", refused.problem.reason)
        assertNotNull(refused.retryAfterSeconds)
    }

    @Test
    fun `given the same id with another body, when submitted, then status 409 and not run`() {
        val id = Jobs.id()
        assertInstanceOf(JobReply.Complete::class.java, system.submitText(system.entries.first(), id, body()))
        val other = system.submitText(system.entries.first(), id, body(deadlineMillis = 4_000, tasks = "$TASK,$TASK"))
        val refused = assertInstanceOf(JobReply.Refused::class.java, other)
        assertEquals(409, refused.status)
        assertEquals("conflicting-body", refused.problem.reason)
    }

    @Test
    fun `given an upstream that fails everything, when a job runs, then status 502 and failed`() {
        system.agents.forEach { it.upstream.changeMode(UpstreamMode.FAIL) }
        val reply = system.submit(system.entries.first(), Jobs.id(), Jobs.job(tasks = 2)).join()
        val refused = assertInstanceOf(JobReply.Refused::class.java, reply)
        assertEquals(502, refused.status)
        assertEquals(ProblemVerdict.FAILED, refused.problem.verdict)
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given an upstream that hangs, when the deadline passes, then status 504 and may have run`() {
        system.agents.forEach { it.upstream.changeMode(UpstreamMode.HANG) }
        val job = Jobs.job(tasks = 1, deadlineMillis = 500)
        val refused =
            assertInstanceOf(JobReply.Refused::class.java, system.submit(system.entries.first(), Jobs.id(), job).join())
        assertEquals(504, refused.status)
        assertEquals(ProblemVerdict.MAY_HAVE_RUN, refused.problem.verdict)
        assertEquals(emptyList<Violation>(), system.violations())
    }

    private fun assertNotRun(
        status: Int,
        reason: String,
        body: String,
        id: String = Jobs.id(),
    ) = assertRefused("$status not-run $reason", body, id)

    private fun assertRefused(
        expected: String,
        body: String,
        id: String,
    ) {
        val refused = refusal(body, id)
        assertEquals(expected, "${refused.status} ${text(refused.problem.verdict)} ${refused.problem.reason}")
        assertEquals(0, system.starts.count { it.task.startsWith(id) })
    }

    private fun text(verdict: ProblemVerdict) = verdict.name.lowercase().replace('_', '-')

    private fun refusal(
        body: String,
        id: String = Jobs.id(),
    ): JobReply.Refused {
        val reply = system.submitText(system.entries.first(), id, body)
        return assertInstanceOf(JobReply.Refused::class.java, reply) { "$reply" }
    }

    private fun body(
        team: String = TEAM,
        service: String = SERVICE,
        deadlineMillis: Long = 5_000,
        tasks: String = TASK,
        extra: String = "",
    ) = """{"team":"$team","service":"$service","deadlineMillis":$deadlineMillis,"tasks":[$tasks]$extra}"""

    private companion object {
        val TASK = task(payload = "1")
        lateinit var system: TestSystem

        fun task(payload: String) = """{"operation":"tear-check","idempotent":true,"payload":$payload}"""

        @JvmStatic
        @BeforeAll
        fun start() {
            system =
                startSystem {
                    smallSystem()
                    team(TEAM, "bolt-scan")
                }
        }

        @JvmStatic
        @AfterAll
        fun stop() = system.close()
    }
}
