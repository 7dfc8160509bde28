package io.egretlock.testing.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Short runs of the soak test. Their long time limits only detect requests that are never answered, since the
 * machine may be busy.
 */
class SoakTest {
    @Test
    fun `given faults in series and overlapping, when jobs are submitted, then all guarantees hold`() =
        assertHolds(settings(seed = 12))

    /** Cause: starts that waited for a silent upstream were carried out by its next incarnation, after being given up. */
    @Test
    fun `given upstreams that end and start again, when orders wait for them, then no task has two runs at once`() =
        assertHolds(settings(seed = 1).copy(faultKinds = SoakFaultKind.RESTARTS))

    private fun settings(seed: Long) =
        SoakSettings(seed, faultMillis = 8_000, recoveryMillis = 60_000, longestAnswerMillis = 30_000)

    private fun assertHolds(settings: SoakSettings) {
        val report = Soak(settings).run()
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.faults.isNotEmpty())
    }
}
