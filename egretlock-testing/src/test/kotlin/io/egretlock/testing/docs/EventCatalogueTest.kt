package io.egretlock.testing.docs

import io.egretlock.agent.AgentEvent
import io.egretlock.agent.run.RunAgentEvent
import io.egretlock.entry.EntryEvent
import io.egretlock.entry.run.RunEntryEvent
import io.egretlock.platform.PlatformEvent
import io.egretlock.process.Event
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readLines

class EventCatalogueTest {
    private val events: List<Event> =
        EntryEvent.entries + AgentEvent.entries + RunEntryEvent.entries + RunAgentEvent.entries + PlatformEvent.entries

    @Test
    fun `given the events of both binaries, when compared with the catalogue, then every row is the same`() {
        val rows = catalogue().joinToString("\n")
        assertEquals(events.joinToString("\n") { "${it.number} ${it.level} ${it.meaning}" }, rows)
    }

    @Test
    fun `given the events of a binary, when their numbers are read, then each is unique and in its range`() {
        assertEquals(events.size, events.map { it.number }.toSet().size)
        assertTrue((EntryEvent.entries + RunEntryEvent.entries).all { it.number in 1_000..1_999 })
        assertTrue((AgentEvent.entries + RunAgentEvent.entries).all { it.number in 2_000..2_999 })
        assertTrue(PlatformEvent.entries.all { it.number in 3_000..3_999 })
    }

    private fun catalogue(): List<String> =
        Path
            .of(System.getProperty("egretlock.root"), "docs", "EVENTS.md")
            .readLines()
            .mapNotNull { ROW.find(it) }
            .map { row -> row.groupValues.drop(1).joinToString(" ") }

    private companion object {
        val ROW = Regex("""^\| (\d{4}) \| (\w+) \| (.+?) \|""")
    }
}
