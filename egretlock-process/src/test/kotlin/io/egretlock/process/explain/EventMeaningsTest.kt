package io.egretlock.process.explain

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EventMeaningsTest {
    @Test
    fun `the catalogue of this version is on the class path`() {
        val meanings = EventMeanings.load()
        assertEquals("A job was accepted.", meanings.of(1_540))
        assertEquals("A call to the upstream got no answer.", meanings.of(3_003))
    }
}
