package io.egretlock.agent

import io.egretlock.agent.AgentFixture.Companion.start
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.AttemptState
import io.egretlock.protocol.AttemptStatus
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.Finished
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Reconcile
import io.egretlock.protocol.ReconcileReply
import io.egretlock.protocol.RosterUpdate
import io.egretlock.protocol.StartRefused
import kotlinx.coroutines.channels.consumeEach
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.concurrent.CompletableFuture

class EntryDialerTest {
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `given a running task, when its connection goes silent, then the answer comes over a second one`(
        oneWay: Boolean,
    ) = runBlocking {
        val release = CompletableFuture<Unit>()
        val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
        val entry = FakeEntry(timing = LONG_SILENCE)
        val proxy = SilencingProxy(entry.address)
        val agent = AgentFixture(listOf(proxy.address))
        val first = entry.session()
        agent.announce(upstream.announcement())
        first.receive<CreditGrant>()
        first.send(start(0))
        upstream.awaitRequest()
        proxy.silence(oneWay)
        val second = entry.session()
        assertEquals(first.hello.agent, second.hello.agent)
        second.send(Reconcile(listOf(start(0).attempt, start(1).attempt)))
        val expected =
            listOf(
                AttemptStatus(start(0).attempt, AttemptState.RUNNING),
                AttemptStatus(start(1).attempt, AttemptState.NEVER_SEEN),
            )
        assertEquals(ReconcileReply(expected), second.receive<ReconcileReply>())
        release.complete(Unit)
        val finished = second.receive<Finished>()
        assertEquals(TaskOutcome.Succeeded("7"), finished.outcome)
        second.send(Acknowledge(listOf(finished.task)))
        listOf(agent, proxy, entry, upstream).forEach { it.close() }
    }

    @Test
    fun `given an answer sent but not acknowledged, when the connection is replaced, then it is sent again`() =
        runBlocking {
            val upstream = FakeUpstream { FakeUpstream.answer(it, "7") }
            val entry = FakeEntry(timing = LONG_SILENCE)
            val agent = AgentFixture(listOf(entry.address))
            agent.announce(upstream.announcement())
            val first = entry.session()
            first.receive<CreditGrant>()
            first.send(start(0))
            val finished = first.receive<Finished>()
            first.link.close()
            val second = entry.session()
            assertEquals(finished.copy(credit = false), second.receive<Finished>())
            second.send(Acknowledge(listOf(finished.task)))
            listOf(agent, entry, upstream).forEach { it.close() }
            assertEquals(1, upstream.requests.size)
        }

    @Test
    fun `given an entry that restarts, when it is back, then it gets credits and no answers of its earlier run`() =
        runBlocking {
            val upstream = FakeUpstream { FakeUpstream.answer(it, "7") }
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            agent.announce(upstream.announcement())
            val first = entry.session()
            first.receive<CreditGrant>()
            first.send(start(0))
            first.receive<Finished>()
            entry.restart(listOf(first))
            assertEquals(CreditGrant(2), entry.session().receive<CreditGrant>())
            assertEquals(emptyList<String>(), agent.dump().unacknowledgedTasks)
            listOf(agent, entry, upstream).forEach { it.close() }
        }

    @Test
    fun `given a running task of an entry that restarts, when it is back, then the task is stopped`() =
        runBlocking {
            val release = CompletableFuture<Unit>()
            val upstream = FakeUpstream(FakeUpstream.answerAfter(release, "7"))
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(entry.address))
            agent.announce(upstream.announcement())
            val first = entry.session()
            first.receive<CreditGrant>()
            first.send(start(0))
            upstream.awaitRequest()
            entry.restart(listOf(first))
            upstream.awaitRequest(2)
            release.complete(Unit)
            agent.close()
            listOf(entry, upstream).forEach { it.close() }
            assertEquals(listOf("POST /tasks/job:0", "DELETE /tasks/job:0"), upstream.requests.toList())
        }

    @Test
    fun `given an address whose host is unknown, when it is dialled, then the others are still connected`() =
        runBlocking {
            val entry = FakeEntry()
            val agent = AgentFixture(listOf(NodeAddress("nowhere.invalid", 1), entry.address))
            entry.session()
            listOf(agent, entry).forEach { it.close() }
        }

    @Test
    fun `given two addresses of one entry, when the second is learned, then its connection replaces the first`() =
        runBlocking {
            val entry = FakeEntry()
            val proxy = SilencingProxy(entry.address)
            val agent = AgentFixture(listOf(entry.address))
            val first = entry.session()
            first.send(RosterUpdate(listOf(Roster(1, 0, listOf(EntryMember(ENTRY, proxy.address))))))
            val latest = entry.session()
            latest.send(start(0))
            assertEquals(StartRefused(start(0).attempt), latest.receive<StartRefused>())
            withTimeout(FakeEntry.DEADLINE_MILLIS) { first.link.incoming.consumeEach {} }
            assertEquals(1, agent.dump().entries.size)
            listOf(agent, proxy, entry).forEach { it.close() }
        }

    private companion object {
        val ENTRY = ProcessId("entry-1", 1)

        /** Limit that is too long for the entry to close a silent connection, so that the agent must. */
        val LONG_SILENCE = LinkTiming(heartbeatMillis = 100, silenceMillis = 60_000)
    }
}
