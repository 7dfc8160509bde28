package io.egretlock.testing.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * A short run of the soak test. Its long time limits only detect requests that are never answered, since the
 * machine may be busy.
 */
class SoakTest {
    @Test
    fun `given faults in series and overlapping, when jobs are submitted, then all guarantees hold`() {
        val settings =
            SoakSettings(seed = 12, faultMillis = 8_000, recoveryMillis = 60_000, longestAnswerMillis = 30_000)
        val report = Soak(settings).run()
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.faults.isNotEmpty())
    }
}
