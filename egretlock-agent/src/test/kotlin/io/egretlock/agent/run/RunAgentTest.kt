package io.egretlock.agent.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.ConnectedEntry
import io.egretlock.core.run.EntryPreference
import io.egretlock.core.run.FencingToken
import io.egretlock.core.run.OrderedRun
import io.egretlock.core.run.RenewalAnswer
import io.egretlock.core.run.RenewalResult
import io.egretlock.core.run.Room
import io.egretlock.core.run.RunEnd
import io.egretlock.core.run.RunId
import io.egretlock.core.run.RunLedger
import io.egretlock.core.run.RunOrder
import io.egretlock.core.run.StartAnswer
import io.egretlock.core.run.StopAnswer
import io.egretlock.core.run.UpstreamIncarnation
import io.egretlock.core.run.UpstreamOrders
import io.egretlock.core.run.UpstreamStatus
import io.egretlock.protocol.ConnectedEntries
import io.egretlock.protocol.JoinJob
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkListener
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Relayed
import io.egretlock.protocol.RunEnded
import io.egretlock.protocol.StartRuns
import io.egretlock.protocol.UpstreamReported
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class RunAgentTest {
    private val loop = EventLoop("test")
    private val scope = CoroutineScope(loop + Job())
    private val agent = RunAgent(IdleUpstream, scope, FencingToken(1), AGENT, DOMAIN) { System.nanoTime() / 1_000_000 }
    private val accepted = Channel<Link>(Channel.UNLIMITED)

    @AfterEach
    fun close() {
        scope.cancel()
        loop.close()
    }

    /** Connects the entry [name]; returns the agent's end of the connection, then the entry's. */
    private suspend fun connect(
        listener: LinkListener,
        name: String,
    ): Pair<Link, Link> {
        val agentEnd = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, scope, LENIENT_TIMING)
        agent.tell(RunAgentInput.EntryConnected(known(name), agentEnd))
        return agentEnd to accepted.receive()
    }

    /** Returns `isPreferred` of the next report that names an upstream; earlier reports name none. */
    private suspend fun Link.isPreferred(): Boolean {
        while (true) (incoming.receive() as? UpstreamReported)?.report?.let { return it.isPreferred }
    }

    @Test
    fun `given two entries, when the preferred one is lost, then the other is told that it is preferred`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val listener =
                    LinkListener.bind(
                        NodeAddress("127.0.0.1", 0),
                        loop,
                        scope,
                        LENIENT_TIMING,
                        accepted::send,
                    )
                val names = listOf("entry-1", "entry-2")
                val preferred = EntryPreference.preferred(AGENT, DOMAIN, names.map { known(it) })
                val ends = names.associateWith { connect(listener, it) }
                agent.tell(RunAgentInput.HeartbeatReceived(STATUS))
                scope.launch { agent.run() }

                val preferences = ends.mapValues { (_, end) -> end.second.isPreferred() }
                assertEquals(names.associateWith { it == preferred?.name }, preferences)

                val (lost, other) = names.partition { it == preferred?.name }
                agent.tell(RunAgentInput.EntryLost(ends.getValue(lost.single()).first))
                assertEquals(true, ends.getValue(other.single()).second.isPreferred())
            }
        }

    /** Guards against a run that starts from an order held up by a cut, after its entry has placed the task elsewhere. */
    @Test
    fun `given an order that may be too old, when it arrives, then nothing starts`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val listener =
                    LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, scope, LENIENT_TIMING, accepted::send)
                val (agentEnd, entryEnd) = connect(listener, "entry")
                agent.tell(RunAgentInput.HeartbeatReceived(STATUS))
                scope.launch { agent.run() }
                entryEnd.isPreferred()
                delay(RunOrder.VALID_MILLIS + 1)
                agent.tell(RunAgentInput.EntryMessage(agentEnd, StartRuns(ORDER, heardHeartbeat = 0)))
                assertEquals(RunEnd.UNHEALTHY, entryEnd.nextRunEnd().end)
            }
        }

    /** Guards against a start that reaches a restarted upstream after its run was reported as lost. */
    @Test
    fun `given a start that waits for a connection, when the upstream falls silent, then its run is not over yet`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val upstream = SilentUpstream()
                val agent = RunAgent(upstream, scope, FencingToken(1), AGENT, DOMAIN) { upstream.nowMillis }
                val listener =
                    LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, scope, LENIENT_TIMING, accepted::send)
                val agentEnd = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, scope, LENIENT_TIMING)
                agent.tell(RunAgentInput.EntryConnected(known("entry"), agentEnd))
                val entryEnd = accepted.receive()
                agent.tell(RunAgentInput.HeartbeatReceived(STATUS))
                scope.launch { agent.run() }
                entryEnd.isPreferred()

                agent.tell(RunAgentInput.EntryMessage(agentEnd, StartRuns(ORDER)))
                upstream.fallSilentDuringStart()
                agent.tell(RunAgentInput.EntryMessage(agentEnd, StartRuns(SECOND_ORDER)))
                assertEquals(
                    SECOND_ORDER.job,
                    entryEnd
                        .nextRunEnd()
                        .run.task.job,
                )

                upstream.endStart()
                assertEquals(
                    ORDER.job,
                    entryEnd
                        .nextRunEnd()
                        .run.task.job,
                )
            }
        }

    @Test
    fun `given two entries, then each is told of the other, and messages between them are passed on`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val listener =
                    LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, scope, LENIENT_TIMING, accepted::send)
                scope.launch { agent.run() }
                val (firstAgentEnd, first) = connect(listener, "first")
                val (_, second) = connect(listener, "second")
                val both = setOf(known("first").entry, known("second").entry)
                listOf(first, second).forEach { link -> while (link.connectedEntries() != both) Unit }
                val relayed = Relayed(known("second").entry, JoinJob(JobId("job")))
                agent.tell(RunAgentInput.EntryMessage(firstAgentEnd, relayed))
                assertEquals(Relayed(known("first").entry, relayed.message), second.nextRelayed())
            }
        }

    private suspend fun Link.connectedEntries(): Set<ProcessId> {
        while (true) (incoming.receive() as? ConnectedEntries)?.let { return it.entries.toSet() }
    }

    private suspend fun Link.nextRelayed(): Relayed {
        while (true) (incoming.receive() as? Relayed)?.let { return it }
    }

    /** Guards against an order for an earlier incarnation of the upstream that a later one carries out. */
    @Test
    fun `given an upstream that restarts, when an answer or a heartbeat shows it, then calls carry the next token`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val upstream = RestartingUpstream()
                val agent = RunAgent(upstream, scope, FencingToken(1), AGENT, DOMAIN) { 0 }
                scope.launch { agent.run() }
                assertEquals(1, upstream.settledToken())
                upstream.startedAtMillis = STARTED_AT + 1
                assertEquals(2, upstream.settledToken())
                upstream.hold()
                agent.tell(RunAgentInput.HeartbeatReceived(statusOf(STARTED_AT + 2)))
                upstream.startedAtMillis = STARTED_AT + 2
                upstream.release()
                assertEquals(3, upstream.settledToken())
            }
        }

    /** Guards against a late order that reaches the upstream's next incarnation before the higher token does. */
    @Test
    fun `given an upstream that stops answering, then the next call carries the next token, and later ones the same`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val upstream = RestartingUpstream()
                val agent = RunAgent(upstream, scope, FencingToken(1), AGENT, DOMAIN) { 0 }
                scope.launch { agent.run() }
                assertEquals(1, upstream.settledToken())
                upstream.isSilent = true
                assertEquals(2, upstream.settledToken())
                assertEquals(2, upstream.settledToken())
            }
        }

    /** Guards against a start that is sent to a restarted upstream because nothing asks whether it is still due. */
    @Test
    fun `given a start that waits for a connection, when the upstream restarts, then the start is no longer due`() =
        runBlocking {
            withTimeout(DEADLINE_MILLIS) {
                val upstream = RestartingUpstream()
                val agent = RunAgent(upstream, scope, FencingToken(1), AGENT, DOMAIN) { 0 }
                val listener =
                    LinkListener.bind(NodeAddress("127.0.0.1", 0), loop, scope, LENIENT_TIMING, accepted::send)
                val agentEnd = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, scope, LENIENT_TIMING)
                agent.tell(RunAgentInput.EntryConnected(known("entry"), agentEnd))
                val entryEnd = accepted.receive()
                agent.tell(RunAgentInput.HeartbeatReceived(STATUS))
                scope.launch { agent.run() }
                entryEnd.isPreferred()
                agent.tell(RunAgentInput.EntryMessage(agentEnd, StartRuns(ORDER)))
                val isDue = upstream.waitingStart.await()
                assertEquals(true, isDue())
                upstream.startedAtMillis = STARTED_AT + 1
                upstream.settledToken()
                assertEquals(false, isDue())
            }
        }

    private suspend fun Link.nextRunEnd(): RunEnded {
        while (true) (incoming.receive() as? RunEnded)?.let { return it }
    }

    /** An upstream whose incarnation and silence a test sets. A start waits for ever. */
    private class RestartingUpstream : UpstreamOrders by IdleUpstream {
        private val tokens = Channel<Long>(Channel.UNLIMITED)
        private val gate = Mutex()

        /** Tells whether the start that waits is due. */
        val waitingStart = CompletableDeferred<() -> Boolean>()

        @Volatile
        var startedAtMillis = STARTED_AT

        @Volatile
        var isSilent = false

        /** Returns the token of a renewal that begins after the agent has handled the result of an earlier one. */
        suspend fun settledToken(): Long {
            while (tokens.tryReceive().isSuccess) Unit
            repeat(RENEWALS_IN_FLIGHT) { tokens.receive() }
            return tokens.receive()
        }

        suspend fun hold() = gate.lock()

        fun release() = gate.unlock()

        override suspend fun start(
            run: RunId,
            specification: String,
            deadlineClockMillis: Long,
            fencingToken: Long,
            upstream: String?,
            isDue: () -> Boolean,
        ): StartAnswer {
            waitingStart.complete(isDue)
            awaitCancellation()
        }

        override suspend fun renew(
            deadlineClockMillis: Long?,
            lastEnd: Long,
            waitMillis: Long,
            fencingToken: Long,
        ): RenewalResult {
            delay(1)
            tokens.send(fencingToken)
            gate.withLock { }
            if (isSilent) return RenewalResult.Unanswered
            return RenewalResult.Answered(RenewalAnswer(startedAtMillis, clockMillis = 0, emptyList(), emptyList()))
        }

        private companion object {
            /** A renewal that was begun before a change, and one whose answer shows it. */
            const val RENEWALS_IN_FLIGHT = 2
        }
    }

    /** An upstream on which nothing runs. */
    private object IdleUpstream : UpstreamOrders {
        override suspend fun start(
            run: RunId,
            specification: String,
            deadlineClockMillis: Long,
            fencingToken: Long,
            upstream: String?,
            isDue: () -> Boolean,
        ): StartAnswer = error("Nothing is ordered.")

        override suspend fun stop(
            run: RunId,
            fencingToken: Long,
        ): StopAnswer = error("Nothing is ordered.")

        override suspend fun renew(
            deadlineClockMillis: Long?,
            lastEnd: Long,
            waitMillis: Long,
            fencingToken: Long,
        ): RenewalResult {
            delay(1)
            return RenewalResult.Answered(RenewalAnswer(STARTED_AT, clockMillis = 10_000, emptyList(), emptyList()))
        }
    }

    /** An upstream that falls silent, for longer than leases last, while its only start is not answered yet. */
    private class SilentUpstream : UpstreamOrders {
        private val startCalled = CompletableDeferred<Unit>()
        private val startEnded = CompletableDeferred<Unit>()
        private val failedRenewals = Channel<Unit>(Channel.UNLIMITED)

        @Volatile
        private var isSilent = false

        @Volatile
        var nowMillis = 0L
            private set

        /** Returns once the agent has handled a renewal that failed after all leases had expired. */
        suspend fun fallSilentDuringStart() {
            startCalled.await()
            isSilent = true
            repeat(FAILED_RENEWALS) { failedRenewals.receive() }
            nowMillis += RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1
            repeat(FAILED_RENEWALS) { failedRenewals.receive() }
        }

        /** Ends the start without an answer, and lets the time pass in which a lease that it took would expire. */
        suspend fun endStart() {
            startEnded.complete(Unit)
            repeat(FAILED_RENEWALS) { failedRenewals.receive() }
            nowMillis += RunLedger.LEASES_EXPIRED_AFTER_MILLIS + 1
        }

        override suspend fun start(
            run: RunId,
            specification: String,
            deadlineClockMillis: Long,
            fencingToken: Long,
            upstream: String?,
            isDue: () -> Boolean,
        ): StartAnswer {
            startCalled.complete(Unit)
            startEnded.await()
            return StartAnswer.UNANSWERED
        }

        override suspend fun stop(
            run: RunId,
            fencingToken: Long,
        ): StopAnswer = StopAnswer.UNANSWERED

        override suspend fun renew(
            deadlineClockMillis: Long?,
            lastEnd: Long,
            waitMillis: Long,
            fencingToken: Long,
        ): RenewalResult {
            delay(1)
            if (!isSilent) return IdleUpstream.renew(deadlineClockMillis, lastEnd, waitMillis, fencingToken)
            failedRenewals.send(Unit)
            return RenewalResult.Unanswered
        }

        private companion object {
            /** The third failure in a row begins after the agent has handled the first. */
            const val FAILED_RENEWALS = 3
        }
    }

    private companion object {
        const val AGENT = "agent"
        const val DEADLINE_MILLIS = 60_000L
        const val STARTED_AT = 5L
        val DOMAIN = FailureDomain("marka")

        /** Long enough that no connection is closed as silent on a busy machine. */
        val LENIENT_TIMING = LinkTiming(silenceMillis = 120_000)
        val STATUS =
            UpstreamStatus(
                UpstreamIncarnation("upstream", STARTED_AT),
                ServiceName("s"),
                "127.0.0.1:1",
                Room(8_000, 512),
                isDraining = false,
                sequence = 1,
            )

        fun statusOf(startedAtMillis: Long) =
            STATUS.copy(incarnation = UpstreamIncarnation("upstream", startedAtMillis))

        val ORDER = RunOrder(1, JobId("job"), "text", listOf(OrderedRun(0, 0, 1, Room(1_000, 64), 100.0)))

        /** Order of another job, which the agent of a silent upstream refuses at once. */
        val SECOND_ORDER = ORDER.copy(sequence = 2, job = JobId("second"))

        fun known(name: String) = ConnectedEntry(ProcessId(name, 1), DOMAIN)
    }
}
