package io.egretlock.core.run

import io.egretlock.core.job.ServiceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ReportPacingTest {
    private val pacing = ReportPacing()
    private val idle =
        UpstreamReport(
            upstream = "upstream-1@1",
            service = ServiceName("net-check"),
            total = Room(32_000, 65_536),
            free = Room(32_000, 65_536),
            speed = 1.0,
            accepting = true,
            isPreferred = true,
        )

    @Test
    fun `given eleven entries, when others start runs continuously, then reports are sent every 100 ms`() {
        val sent =
            (0 until 1_000L step 8).filter { millis ->
                isDue(idle.copy(free = Room(millis, 65_536)), nowMillis = millis)
            }
        assertTrue(sent.size in 9..11) { "$sent" }
    }

    @Test
    fun `given a report just sent, when the entry's own run ends, then the next report is sent at once`() {
        assertTrue(isDue(idle))
        val changed = idle.copy(free = Room(1_000, 1_000))
        assertFalse(isDue(changed))
        pacing.requestReport()
        assertTrue(isDue(changed))
        assertFalse(isDue(idle))
    }

    @Test
    fun `given a report just sent, when the upstream drains, ends or restarts, then the next report is sent at once`() {
        assertTrue(isDue(idle))
        val reports = listOf(idle.copy(accepting = false), null, idle.copy(upstream = "upstream-1@2"))
        assertEquals(listOf(true, true, true), reports.map(::isDue))
    }

    @Test
    fun `given a delayed change, when the interval has passed, then a report is sent`() {
        assertTrue(isDue(idle))
        val changed = idle.copy(speed = 2.0)
        assertFalse(isDue(changed, nowMillis = 99))
        assertTrue(isDue(changed, nowMillis = 100))
        assertFalse(isDue(changed, nowMillis = 300))
    }

    @Test
    fun `given a single entry, when the upstream changes, then a report is sent after 10 ms`() {
        assertTrue(isDue(idle, entryCount = 1))
        assertTrue(isDue(idle.copy(speed = 2.0), entryCount = 1, nowMillis = 10))
    }

    @Test
    fun `given eleven entries, when an entry is not preferred, then changes by others are reported every 363 ms`() {
        val sent =
            (0 until 1_000L step 8).filter { millis ->
                isDue(idle.copy(free = Room(millis, 65_536), isPreferred = false), nowMillis = millis)
            }
        assertEquals(listOf(0L, 368L, 736L), sent)
    }

    @Test
    fun `a report that waits is told apart from one that is unchanged`() {
        fun next(report: UpstreamReport) = pacing.next(report, seenSequence = 0, ENTRIES, nowMillis = 0)
        val changed = idle.copy(speed = 2.0)
        val expected = listOf(ReportPacing.Next.SEND, ReportPacing.Next.UNCHANGED, ReportPacing.Next.WAIT)
        assertEquals(expected, listOf(next(idle), next(idle), next(changed)))
    }

    private fun isDue(
        report: UpstreamReport?,
        nowMillis: Long = 0,
        entryCount: Int = ENTRIES,
    ): Boolean = pacing.next(report, seenSequence = 0, entryCount, nowMillis) == ReportPacing.Next.SEND

    private companion object {
        const val ENTRIES = 11
    }
}
