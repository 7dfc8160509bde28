package io.egretlock.process.explain

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LogLineTest {
    private fun parse(text: String) = LogLine.parseOrNull(text, "entry-1.log")

    @Test
    fun `a parsed line has its time, level, event and fields`() {
        val line = parse("""{"time":17,"level":"INFO","event":1540,"job":"5c0e","tasks":8,"patience":null}""")
        val fields = mapOf("job" to "5c0e", "tasks" to "8", "patience" to "-")
        assertEquals(LogLine("entry-1.log", 17, "INFO", 1540, fields), line)
    }

    @Test
    fun `the word before the JSON object is the source`() {
        val line = parse("""   0.0219 side-nebrodi-3 {"time":17,"level":"INFO","event":2541,"run":"5c0e.0.6#1"}""")
        assertEquals("side-nebrodi-3", line?.source)
    }

    @Test
    fun `lines without a numbered event are not parsed`() {
        val texts =
            listOf("", "warning", "{", "[1]", """{"time":17,"level":"WARN","message":"m"}""", """{"event":1540}""")
        texts.forEach { assertNull(parse(it), it) }
    }

    @Test
    fun `a line is about a job or its runs, and not about a job whose id starts with the same characters`() {
        val run = parse("""{"time":17,"level":"INFO","event":2541,"run":"5c0e.0.6#1"}""")!!
        assertTrue(run.isAbout("5c0e"))
        assertFalse(run.isAbout("5c0"))
    }
}
