package io.egretlock.process.explain

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class JobTimelineTest {
    private val meanings = EventMeanings("| 1540 | INFO | A job was taken. | |\n| 1511 | WARN | Agent lost. | Look. |")

    private fun line(
        source: String,
        timeMillis: Long,
        event: Int,
        level: String = "INFO",
        vararg fields: Pair<String, String>,
    ) = LogLine(source, timeMillis, level, event, mapOf(*fields))

    private val lines =
        listOf(
            line("agent", 120, 2541, fields = arrayOf("run" to "a.0.0#1", "end" to "SUCCEEDED")),
            line("agent", 110, 2541, fields = arrayOf("run" to "b.0.0#1")),
            line("entry", 100, 1540, fields = arrayOf("job" to "a", "tasks" to "1")),
            line("entry", 115, 1511, "WARN", "agent" to "agent@1"),
            line("entry", 116, 3003, "WARN", "call" to "run-start", "run" to "b.0.0#1"),
            line("entry", 119, 1512, fields = arrayOf("agent" to "agent@1")),
            line("entry", 121, 1511, "WARN", "agent" to "agent@2"),
            line("other", 118, 1511, "WARN", "agent" to "agent@1"),
        )

    @Test
    fun `given lines of several jobs, then the job's lines and the warnings of its processes are in order of time`() {
        val timeline = JobTimeline.selectOrNull("a", lines)
        assertEquals(listOf(1540, 1511, 2541), timeline?.lines?.map { it.event })
        assertEquals(listOf("entry", "entry", "agent"), timeline?.lines?.map { it.source })
    }

    @Test
    fun `the description has the meaning of each event and its time since the first line`() {
        val expected =
            """
            Job a: 3 lines of 2 processes, 20 ms
                  0 ms  entry  1540 A job was taken. tasks=1
                 15 ms  entry  WARN 1511 Agent lost. agent=agent@1
                 20 ms  agent  2541 (a number that this version does not know) run=a.0.0#1 end=SUCCEEDED
            """.trimIndent()
        assertEquals(expected, JobTimeline.selectOrNull("a", lines)?.describe(meanings))
    }

    @Test
    fun `given a job that no line is about, then the result is null`() =
        assertNull(JobTimeline.selectOrNull("c", lines))
}
