package io.egretlock.testing.soak

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** A short run of the soak. Its times only tell a request that is never answered from one on a busy machine. */
class SoakTest {
    @Test
    fun `given faults in series and overlapping, when jobs come, then no promise is broken`() {
        val settings =
            SoakSettings(seed = 12, faultMillis = 8_000, recoveryMillis = 60_000, longestAnswerMillis = 30_000)
        val report = Soak(settings).play()
        assertEquals(emptyList<String>(), report.violations)
        assertTrue(report.faults.isNotEmpty())
    }
}
