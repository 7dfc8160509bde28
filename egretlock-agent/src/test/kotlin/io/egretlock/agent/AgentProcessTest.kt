package io.egretlock.agent

import io.egretlock.agent.AgentStandUp.Companion.start
import io.egretlock.core.job.TaskOutcome
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.Finished
import io.egretlock.protocol.StartRefused
import io.egretlock.protocol.UpstreamUpdate
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AgentProcessTest {
    @Test
    fun `given an announced upstream, when an entry starts a task, then it gets the answer and the next credit`() =
        runBlocking {
            val upstream = UpstreamStandIn { UpstreamStandIn.answer(it, """{"torn":false}""") }
            val entry = EntryStandIn()
            val agent = AgentStandUp(listOf(entry.address))
            val session = entry.session()
            assertEquals(204, agent.announce(upstream.announcement()))
            assertEquals(UpstreamUpdate(upstream.announcement()), session.receive<UpstreamUpdate>())
            assertEquals(CreditGrant(2), session.receive<CreditGrant>())
            session.send(start(0))
            val finished = session.receive<Finished>()
            session.send(Acknowledge(listOf(finished.task)))
            val expected =
                Finished(start(0).attempt.task, TaskOutcome.Succeeded("""{"torn":false}"""), finished.runMillis, true)
            assertEquals(expected, finished)
            assertEquals(listOf("POST /tasks/job:0"), upstream.requests.toList())
            assertEquals(
                listOf("""{"operation":"tear-check","payload":{"panel":7},"remainingMillis":10000}"""),
                upstream.bodies.toList(),
            )
            listOf(agent, entry, upstream).forEach { it.close() }
        }

    @Test
    fun `given no credit, when an entry starts a task, then it is refused and the upstream sees nothing`() =
        runBlocking {
            val entry = EntryStandIn()
            val agent = AgentStandUp(listOf(entry.address))
            val session = entry.session()
            session.send(start(0))
            assertEquals(StartRefused(start(0).attempt), session.receive<StartRefused>())
            listOf(agent, entry).forEach { it.close() }
        }
}
