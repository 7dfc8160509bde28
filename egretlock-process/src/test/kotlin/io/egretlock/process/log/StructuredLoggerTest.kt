package io.egretlock.process.log

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.slf4j.event.Level

class StructuredLoggerTest {
    private val lines = ArrayList<String>()
    private val logger =
        StructuredLogger("io.egretlock.x", Level.INFO) {
            lines +=
                it.replace(Regex("\"time\":\\d+"), "T")
        }

    @Test
    fun `the pairs of an event are the fields of its line`() {
        logger
            .atInfo()
            .addKeyValue("event", 7)
            .addKeyValue("cause", "a \"b\"\n")
            .addKeyValue("left", null as Any?)
            .log("not shown")
        assertEquals(listOf("""{T,"level":"INFO","event":7,"cause":"a \"b\" ","left":null}"""), lines)
    }

    @Test
    fun `a message without pairs is written with its arguments and cause`() {
        logger.warn("slow: {} ms", 5, IllegalStateException("stuck"))
        val cause = "java.lang.IllegalStateException: stuck"
        assertEquals(listOf("""{T,"level":"WARN","message":"slow: 5 ms","cause":"$cause"}"""), lines)
    }

    @Test
    fun `events below the threshold are not written`() {
        logger.debug("hidden")
        logger.atDebug().addKeyValue("event", 7).log("hidden")
        assertTrue(lines.isEmpty())
        assertFalse(logger.isDebugEnabled)
    }
}
