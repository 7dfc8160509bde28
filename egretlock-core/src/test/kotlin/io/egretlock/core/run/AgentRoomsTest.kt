package io.egretlock.core.run

import io.egretlock.core.run.RunFixtures.agent
import io.egretlock.core.run.RunFixtures.ownDomain
import io.egretlock.core.run.RunFixtures.report
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AgentRoomsTest {
    private val rooms = AgentRooms()

    @Test
    fun `a connected agent without an upstream is expected to report one`() {
        rooms.report(agent("first"), ownDomain, report(cores = 8), seenSequence = 0)
        rooms.expectReport(agent("second"), nowMillis = 0)
        rooms.removeUpstream(agent("second"))
        assertEquals(2.0, rooms.growthFactor(nowMillis = 100))
    }

    @Test
    fun `an agent whose upstream was removed is not expected to report another`() {
        listOf("first", "second").forEach { name ->
            rooms.expectReport(agent(name), nowMillis = 0)
            rooms.report(agent(name), ownDomain, report(cores = 8), seenSequence = 0)
        }
        rooms.removeUpstream(agent("second"))
        assertEquals(1.0, rooms.growthFactor(nowMillis = 100))
    }
}
