package io.egretlock.core.placement

import io.egretlock.core.job.DeclaredNeeds
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.ServiceSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class JobChecksTest {
    private val runTimes = RunTimeLearner()
    private val checks = JobChecks(runTimes).apply { add(UpstreamResources(accelerators = 2)) }
    private val limits = ServiceSettings(SERVICE, largestJob = 3)

    @Test
    fun `given a job above its size limit, when checked, then it is too large and has no retry time`() {
        val expected = Verdict.NotRun(Reason.TOO_LARGE, "The job has 4 tasks; at most 3 are allowed.")
        assertEquals(expected, checks.refusal(job("j", tasks = 4), limits, 1_000))
    }

    @Test
    fun `given declared needs above those of every upstream, when checked, then the job is impossible`() {
        val expected = Verdict.NotRun(Reason.IMPOSSIBLE, "No upstream of service 'net-check' offers 3 accelerators.")
        assertEquals(expected, checks.refusal(needing(3), limits, 1_000))
        assertNull(checks.refusal(needing(2), limits, 1_000))
    }

    @Test
    fun `given a larger upstream that was removed, when checked, then its resources no longer count`() {
        checks.add(UpstreamResources(accelerators = 4))
        checks.remove(UpstreamResources(accelerators = 4))
        assertEquals(Reason.IMPOSSIBLE, checks.refusal(needing(3), limits, 1_000)?.reason)
    }

    @Test
    fun `given a deadline below the shortest recorded run, when checked, then the job is impossible`() {
        runTimes.record(CHECK, agentId("a"), 200)
        val detail = "199 ms are left; the shortest run of 'tear-check' took 200 ms."
        assertEquals(Verdict.NotRun(Reason.IMPOSSIBLE, detail), checks.refusal(job("j"), limits, 199))
        assertNull(checks.refusal(job("j"), limits, 200))
    }

    private fun needing(accelerators: Int) =
        job("j").let { plain ->
            plain.copy(tasks = plain.tasks.map { it.copy(declared = DeclaredNeeds(accelerators = accelerators)) })
        }
}
