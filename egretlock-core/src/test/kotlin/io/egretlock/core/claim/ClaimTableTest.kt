package io.egretlock.core.claim

import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ClaimTableTest {
    private val retention = ClaimRetention(claimMillis = 100, answerMillis = 10)
    private val table = ClaimTable(retention)
    private val complete = claim("a", JobOutcome.Complete(listOf("1")))

    @Test
    fun `given an ended job, when looked up within the answer retention, then its answers are present`() {
        table.record(complete, nowMillis = 0)
        table.expire(9)
        assertEquals(complete, table[JobId("a")])
    }

    @Test
    fun `given an ended job, when its answers expire, then its outcome is may have run`() {
        table.record(complete, nowMillis = 0)
        table.expire(10)
        val verdict =
            Verdict.MayHaveRun(Reason.RETENTION, "The job was complete; its answers are no longer kept.")
        assertEquals(JobOutcome.WithoutAnswer(verdict), table[JobId("a")]?.outcome)
    }

    @Test
    fun `given an ended job, when the claim retention has passed, then its claim is removed`() {
        table.record(complete, nowMillis = 0)
        table.expire(100)
        assertNull(table[JobId("a")])
        assertEquals(0, table.size)
    }

    @Test
    fun `given exported claims, when imported, then each keeps its remaining time and present claims stay unchanged`() {
        val refused = claim("a", JobOutcome.WithoutAnswer(Verdict.NotRun(Reason.QUOTA, "full")))
        table.record(complete, nowMillis = 0)
        val heir = ClaimTable(retention)
        heir.record(refused, nowMillis = 1_000)
        heir.import(table.export(40) + ExportedClaim(claim("b", complete.outcome), 60), nowMillis = 1_000)
        assertEquals(refused, heir[JobId("a")])
        heir.expire(1_059)
        assertEquals(2, heir.size)
        heir.expire(1_060)
        assertNull(heir[JobId("b")])
    }

    private fun claim(
        id: String,
        outcome: JobOutcome,
    ) = EndedClaim(JobId(id), BodyDigest("00"), outcome)
}
