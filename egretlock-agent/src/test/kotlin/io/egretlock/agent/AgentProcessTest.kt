package io.egretlock.agent

import io.egretlock.agent.AgentFixture.Companion.start
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.TeamName
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.Cancel
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.Finished
import io.egretlock.protocol.RosterUpdate
import io.egretlock.protocol.SettingsApplied
import io.egretlock.protocol.SettingsRevision
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.StartRefused
import io.egretlock.protocol.UpstreamUpdate
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture

class AgentProcessTest {
    @Test
    fun `given an announced upstream, when an entry starts a task, then it gets the answer and the next credit`() =
        runBlocking {
            val upstream = FakeUpstream { FakeUpstream.answer(it, """{"torn":false}""") }
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
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
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            val session = entry.session()
            session.send(start(0))
            assertEquals(StartRefused(start(0).attempt), session.receive<StartRefused>())
            listOf(agent, entry).forEach { it.close() }
        }

    @Test
    fun `given a running task, when it is cancelled, then the upstream is asked to stop it`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            val session = entry.session()
            agent.announce(upstream.announcement())
            session.receive<CreditGrant>()
            session.send(start(0))
            upstream.awaitRequest()
            session.send(Cancel(start(0).attempt.task))
            session.send(Cancel(start(1).attempt.task))
            upstream.awaitRequest(2)
            release.complete(Unit)
            session.send(Acknowledge(listOf(session.receive<Finished>().task)))
            listOf(agent, entry, upstream).forEach { it.close() }
            assertEquals(listOf("POST /tasks/job:0", "DELETE /tasks/job:0"), upstream.requests.toList())
        }

    @Test
    fun `given upstream connections gone silent, when one call has timed out, then the next uses a fresh connection`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val proxy = SilencingProxy(upstream.address)
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            val session = entry.session()
            agent.announce(upstream.announcement(slots = 3).copy(address = "http://${proxy.address}"))
            session.receive<CreditGrant>()
            repeat(3) { session.send(start(it)) }
            upstream.awaitRequest(3)
            release.complete(Unit)
            repeat(3) { assertEquals(TaskOutcome.Succeeded("7"), session.outcome()) }
            proxy.silence()
            session.send(start(3, remainingMillis = 300))
            assertEquals(TaskOutcome.Ended(HttpUpstreamClient.NO_ANSWER_IN_TIME), session.outcome())
            session.send(start(4))
            assertEquals(TaskOutcome.Succeeded("7"), session.outcome())
            listOf(agent, proxy, entry, upstream).forEach { it.close() }
            assertEquals(0, upstream.requests.count { it == "POST /tasks/job:3" })
        }

    @Test
    fun `given a running task, when the upstream leaves, then the task ends and no other starts`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            val session = entry.session()
            agent.announce(upstream.announcement())
            session.receive<CreditGrant>()
            session.send(start(0))
            upstream.awaitRequest()
            assertEquals(202, agent.leave())
            assertEquals(UpstreamUpdate(null), session.receive<UpstreamUpdate>())
            session.send(start(1))
            assertEquals(StartRefused(start(1).attempt), session.receive<StartRefused>())
            release.complete(Unit)
            val finished = session.receive<Finished>()
            assertEquals(TaskOutcome.Succeeded("7") to false, finished.outcome to finished.credit)
            session.send(Acknowledge(listOf(finished.task)))
            assertEquals(204, agent.leave())
            assertEquals(204, agent.announce(upstream.announcement()))
            assertEquals(CreditGrant(2), session.receive<CreditGrant>())
            listOf(agent, entry, upstream).forEach { it.close() }
            assertEquals(1, upstream.requests.size)
        }

    @Test
    fun `given a running task, when the agent stops, then it starts no other and waits for the acknowledgement`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            val session = entry.session()
            agent.announce(upstream.announcement())
            session.receive<CreditGrant>()
            session.send(start(0))
            upstream.awaitRequest()
            val stopped = async(Dispatchers.IO) { agent.close() }
            assertEquals(UpstreamUpdate(null), session.receive<UpstreamUpdate>())
            assertEquals(503 to "draining", agent.get("/ready").let { it.statusCode() to it.body() })
            assertEquals(503, agent.announce(upstream.announcement()))
            session.send(start(1))
            assertEquals(StartRefused(start(1).attempt), session.receive<StartRefused>())
            release.complete(Unit)
            val finished = session.receive<Finished>()
            assertFalse(stopped.isCompleted)
            session.send(Acknowledge(listOf(finished.task)))
            stopped.await()
            listOf(entry, upstream).forEach { it.close() }
            assertEquals(1, upstream.requests.size)
        }

    @Test
    fun `given a task that outlasts the drain time, when the agent stops, then the task ends as may have run`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address), drainMillis = 100)
            val session = entry.session()
            agent.announce(upstream.announcement())
            session.receive<CreditGrant>()
            session.send(start(0))
            upstream.awaitRequest()
            val stopped = async(Dispatchers.IO) { agent.close() }
            val finished = session.receive<Finished>()
            assertEquals(TaskOutcome.Ended(HttpUpstreamClient.CONNECTION_LOST), finished.outcome)
            session.send(Acknowledge(listOf(finished.task)))
            stopped.await()
            release.complete(Unit)
            listOf(entry, upstream).forEach { it.close() }
        }

    @Test
    fun `given entries with different revisions, when an agent meets both, then both get the higher one`() =
        runBlocking {
            val newer = FakeEntry(settings = listOf(stored(revision = 9)))
            val agent = AgentFixture(listOf(newer.address))
            val session = newer.session()
            assertEquals(SettingsApplied(listOf(SettingsRevision(TEAM, 9))), session.receive<SettingsApplied>())
            val older = FakeEntry(id = ProcessId("entry-2", 1), settings = listOf(stored(revision = 4)))
            session.send(
                RosterUpdate(listOf(Roster(1, 0, listOf(EntryMember(ProcessId("entry-2", 1), older.address))))),
            )
            val other = older.session()
            assertEquals(listOf(SettingsRevision(TEAM, 9)), other.hello.settingsRevisions)
            assertEquals(SettingsUpdate(listOf(stored(revision = 9))), other.receive<SettingsUpdate>())
            other.send(SettingsUpdate(listOf(stored(revision = 8))))
            other.send(SettingsUpdate(listOf(stored(revision = 10))))
            assertEquals(SettingsApplied(listOf(SettingsRevision(TEAM, 10))), session.receive<SettingsApplied>())
            listOf(agent, newer, older).forEach { it.close() }
        }

    @Test
    fun `given a malformed announcement, when it arrives, then the answer lists every fault`() {
        val agent = AgentFixture(listOf(NodeAddress("127.0.0.1", 1)))
        val body = """{"service":" ","slots":0,"connections":0,"address":"ftp://x"}"""
        val answer = agent.announce(body)
        val expected =
            """
            service: must not be blank.
            slots: must be from 1 to 256.
            connections: must be from 1 to 65535.
            address: must be an http URL.
            """.trimIndent()
        assertEquals(400 to expected, answer.statusCode() to answer.body())
        assertEquals(
            400 to "The body is not an announcement.",
            agent.announce("[]").let { it.statusCode() to it.body() },
        )
        agent.close()
    }

    @Test
    fun `given a running agent, when an operator queries it, then it is live and ready and shows its metrics`() {
        val agent = AgentFixture(listOf(NodeAddress("127.0.0.1", 1)))
        assertEquals("live", agent.get("/live").body())
        assertEquals(200, agent.get("/ready").statusCode())
        assertTrue(agent.get("/metrics").body().contains("egretlock_agent_starts_total 0.0"))
        agent.close()
    }

    private suspend fun FakeEntry.Session.outcome(): TaskOutcome {
        val finished = receive<Finished>()
        send(Acknowledge(listOf(finished.task)))
        return finished.outcome
    }

    private fun stored(revision: Long) = StoredTeamSettings(revision, TeamSettings(TEAM))

    private companion object {
        val TEAM = TeamName("haddad")
    }
}
