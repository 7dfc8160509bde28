package io.egretlock.entry

import io.egretlock.core.claim.BodyDigest
import io.egretlock.core.claim.EndedClaim
import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HandoverPartsTest {
    @Test
    fun `given large answers, when split, then no part has more than 8 MiB of answers unless it is one claim`() {
        val sizes = listOf(5, 3, 1, 20, 2)
        val parts = HandoverParts.of(sizes.map { claim("large", it * MEBIBYTE) })
        assertEquals(listOf(2, 1, 1, 1), parts.map { it.size })
    }

    @Test
    fun `given many small answers, when split, then each claim is in one part, in order`() {
        val claims = List(401) { claim("job-$it", 1) }
        val parts = HandoverParts.of(claims)
        assertEquals(listOf(200, 200, 1), parts.map { it.size })
        assertEquals(claims, parts.flatten())
    }

    private fun claim(
        job: String,
        answerBytes: Int,
    ) = ExportedClaim(EndedClaim(JobId(job), BodyDigest("00"), answered(answerBytes)), remainingMillis = 1)

    private fun answered(bytes: Int) = JobOutcome.Complete(listOf("x".repeat(bytes)))

    private companion object {
        const val MEBIBYTE = 1_024 * 1_024
    }
}
