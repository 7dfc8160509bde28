package io.egretlock.entry

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ProblemTest {
    @Test
    fun `given a refusal with a retry time, when made a problem, then it has the status, verdict and time`() {
        assertEquals(
            Problem(
                type = "urn:egretlock:overloaded",
                title = "overloaded",
                status = 503,
                detail = "Too much is queued.",
                verdict = "not-run",
                reason = "overloaded",
                job = "a",
                retryAfterMillis = 250,
            ),
            Problem.of(Verdict.NotRun(Reason.OVERLOADED, "Too much is queued.", retryAfterMillis = 250), "a"),
        )
    }

    @Test
    fun `given verdicts, when made problems, then each has its status`() {
        val statuses =
            listOf(
                Verdict.MayHaveRun(Reason.AGENT_LOST, "") to 502,
                Verdict.Failed(Reason.UPSTREAM_FAILED, "") to 502,
                Verdict.MayHaveRun(Reason.DEADLINE, "") to 504,
                Verdict.MayHaveRun(Reason.CREATION_TIME, "") to 400,
                Verdict.NotRun(Reason.DEADLINE, "") to 504,
                Verdict.NotRun(Reason.CONFLICTING_BODY, "") to 409,
                Verdict.NotRun(Reason.QUOTA, "") to 429,
            )
        statuses.forEach { (verdict, status) -> assertEquals(status, Problem.of(verdict, null).status) }
    }
}
