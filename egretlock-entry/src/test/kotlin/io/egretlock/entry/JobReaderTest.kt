package io.egretlock.entry

import com.github.michaelbull.result.get
import com.github.michaelbull.result.getError
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobReaderTest {
    private val reader = JobReader(JobLimits(maxPayloadBytes = 20, maxTasks = 2))

    @Test
    fun `given a UUIDv7 id, when read, then the creation time comes from it`() {
        val job = reader.read("017f22e2-79b0-7cc3-98c4-dc0c0c07398f", body(createdAt = null)).get()
        assertEquals(1_645_557_742_000, job?.createdAtMillis)
    }

    @Test
    fun `given an id that is no UUIDv7 and no createdAt, when read, then it is refused`() {
        assertRefused(
            Reason.MALFORMED,
            "The job id is no UUIDv7, and there is no createdAt.",
            reader.read("booking-1", body(createdAt = null)).getError(),
        )
    }

    @Test
    fun `given more tasks than allowed, when read, then the refusal names both numbers`() {
        assertRefused(
            Reason.TOO_LARGE,
            "The job has 3 tasks; allowed: at most 2.",
            reader.read("booking-1", body(tasks = 3)).getError(),
        )
    }

    @Test
    fun `given a large payload, when read, then the refusal names its size`() {
        assertRefused(
            Reason.TOO_LARGE,
            "A payload has 32 bytes; allowed: at most 20.",
            reader.read("booking-1", body(payload = "\"${"x".repeat(30)}\"")).getError(),
        )
    }

    @Test
    fun `given no tasks, when read, then it is refused`() {
        assertRefused(Reason.MALFORMED, "The job has no tasks.", reader.read("booking-1", body(tasks = 0)).getError())
    }

    @Test
    fun `given a deadline of 0, when read, then the refusal names the allowed range`() {
        assertRefused(
            Reason.MALFORMED,
            "deadlineMillis is 0; allowed: 1 to 3600000.",
            reader.read("booking-1", body(deadlineMillis = 0)).getError(),
        )
    }

    private fun assertRefused(
        reason: Reason,
        detail: String,
        actual: Verdict.NotRun?,
    ) = assertEquals(Verdict.NotRun(reason, detail), actual)

    private fun body(
        createdAt: Long? = 5,
        deadlineMillis: Long = 1_000,
        tasks: Int = 1,
        payload: String = "{}",
    ): String {
        val task = """{"operation":"reserve","idempotent":false,"payload":$payload}"""
        val list = List(tasks) { task }.joinToString(",")
        return """{"team":"haddad","service":"beatday-booking","createdAt":$createdAt,""" +
            """"deadlineMillis":$deadlineMillis,"tasks":[$list]}"""
    }
}
