package io.egretlock.entry.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.JobStep
import io.egretlock.core.run.OwnedJobs
import io.egretlock.core.run.Room
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
import io.egretlock.core.run.StepJobScheduler
import io.egretlock.core.run.UpstreamReport
import io.egretlock.protocol.CancelJob
import io.egretlock.protocol.JobsAnnounced
import io.egretlock.protocol.JoinJob
import io.egretlock.protocol.JoinedJobEnded
import io.egretlock.protocol.LeaveJob
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkListener
import io.egretlock.protocol.LinkTiming
import io.egretlock.protocol.Message
import io.egretlock.protocol.RunAgentHello
import io.egretlock.protocol.StartRuns
import io.egretlock.protocol.UpstreamReported
import io.egretlock.sockets.EventLoop
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

@OptIn(ExperimentalCoroutinesApi::class)
class RunEntryTest {
    private val queue = JobQueue("checks", ServiceName("s"), 0, attempts = 2, slackFactor = 1.6, targetMillis = 1_000)

    private fun submitted(
        id: String,
        answer: CompletableDeferred<StepJobOutcome> = CompletableDeferred(),
    ): RunEntryInput {
        val job = StepJob(JobId(id), "specification", listOf(JobStep(1, Room(1_000, 64), estimatedRunMillis = 50)))
        return RunEntryInput.Submitted(job, queue, patienceMillis = null, answer)
    }

    private fun announced(vararg jobs: String) = JobsAnnounced(OwnedJobs(1, jobs.map { JobId(it) }))

    @Test
    fun `given a waiting job, when others arrive at the instant of a tick, then each is held`() =
        runTest {
            val entry = RunEntry(IDENTITY, StepJobPolicies.default(Random(1)), { currentTime }, { currentTime })
            repeat(INSTANTS) { instant ->
                launch {
                    delay(instant * RunEntry.TICK_MILLIS)
                    entry.tell(submitted("job-$instant"))
                }
            }
            backgroundScope.launch { entry.run() }
            delay(INSTANTS * RunEntry.TICK_MILLIS)
            assertEquals(INSTANTS, entry.activeJobCount)
        }

    @Test
    fun `given an agent that reconnects, when its old connection is silent, then its runs start again`() =
        runBlocking {
            val now = AtomicLong()
            val entry = RunEntry(IDENTITY, StepJobPolicies.default(Random(1)), now::get, now::get)
            withAgentLinks(entry) { connect ->
                val old = connect()
                entry.tell(submitted("a"))
                assertEquals(listOf(1), old.nextNumbers())
                val new = connect()
                entry.tell(submitted("b"))
                assertEquals(listOf(1), new.nextNumbers())
                val restartAt = now.get() + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS
                val clock = launch { advanceGradually(now) }
                assertEquals(listOf(2), new.nextNumbers())
                assertTrue(now.get() >= restartAt)
                clock.cancel()
            }
        }

    /** Guards against orders whose age the agent can't bound, see the order of `RunAgentTest` that may be too old. */
    @Test
    fun `given an agent whose heartbeats arrive, when runs are ordered, then the order names the last of them`() =
        runBlocking {
            val entry = RunEntry(IDENTITY, StepJobPolicies.default(Random(1)), { 0 }, { 0 })
            withAgentLinks(entry) { connect ->
                val agentEnd = connect()
                var heard = 0L
                var job = 0
                while (heard == 0L) {
                    entry.tell(submitted("job-${job++}"))
                    heard = (agentEnd.incoming.receive() as StartRuns).heardHeartbeat ?: 0
                    entry.tell(RunEntryInput.Cancelled(JobId("job-${job - 1}")))
                    agentEnd.incoming.receive()
                }
                assertTrue(agentEnd.millisSinceHeartbeat(heard) < DEADLINE_MILLIS)
            }
        }

    /** Guards against two entries that work on one job, see `JobOwnershipTest`. */
    @Test
    fun `given a job of another entry, when it comes here, then its callers get the answer of that entry`() =
        runBlocking {
            withPeer { entry, peerEnd ->
                entry.tell(RunEntryInput.PeerMessage(PEER, announced("a")))
                val answer = CompletableDeferred<StepJobOutcome>()
                entry.tell(submitted("a", answer))
                assertEquals(JoinJob(JobId("a")), peerEnd.next<JoinJob>())
                entry.tell(RunEntryInput.PeerMessage(PEER, JoinedJobEnded(JobId("a"), StepJobOutcome.Succeeded)))
                assertEquals(StepJobOutcome.Succeeded, answer.await())
                assertEquals(0, entry.activeJobCount)
            }
        }

    @Test
    fun `given a joined job, when its callers leave, then its owner is told`() =
        runBlocking {
            withPeer { entry, peerEnd ->
                entry.tell(RunEntryInput.PeerMessage(PEER, announced("a")))
                val answer = CompletableDeferred<StepJobOutcome>()
                entry.tell(submitted("a", answer))
                entry.tell(RunEntryInput.CallerLeft(JobId("a"), answer))
                assertEquals(LeaveJob(JobId("a")), peerEnd.next<LeaveJob>())
            }
        }

    /** Guards against a job that goes on after a cancel that reached another entry than its own. */
    @Test
    fun `given a job of another entry, when it is cancelled here, then its owner is told`() =
        runBlocking {
            withPeer { entry, peerEnd ->
                entry.tell(RunEntryInput.Cancelled(JobId("young")))
                entry.tell(RunEntryInput.PeerMessage(PEER, announced("a", "young")))
                assertEquals(CancelJob(JobId("young")), peerEnd.next<CancelJob>())
                entry.tell(RunEntryInput.Cancelled(JobId("a")))
                assertEquals(CancelJob(JobId("a")), peerEnd.next<CancelJob>())
            }
        }

    /** Passes [body] an entry with a connection to the entry [PEER], and the other end of that connection. */
    private suspend fun withPeer(body: suspend (RunEntry, Link) -> Unit) =
        coroutineScope {
            EventLoop("test").use { loop ->
                val accepted = Channel<Link>(Channel.UNLIMITED)
                val scope = CoroutineScope(coroutineContext + Job())
                val address = NodeAddress("127.0.0.1", 0)
                val listener = LinkListener.bind(address, loop, scope, LENIENT_TIMING) { accepted.send(it) }
                val entry = RunEntry(IDENTITY, StepJobPolicies.default(Random(1)), { 0 }, { 0 })
                scope.launch { entry.run() }
                withTimeout(DEADLINE_MILLIS) {
                    val peerEnd = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, scope, LENIENT_TIMING)
                    entry.tell(RunEntryInput.PeerConnected(PEER, accepted.receive()))
                    body(entry, peerEnd)
                }
                scope.cancel()
            }
        }

    private suspend inline fun <reified T : Message> Link.next(): T {
        while (true) (incoming.receive() as? T)?.let { return it }
    }

    /** Lets the time pass in steps that are no standstill. */
    private suspend fun advanceGradually(now: AtomicLong): Nothing {
        while (true) {
            now.addAndGet(RunEntry.TICK_MILLIS)
            delay(RunEntry.TICK_MILLIS)
        }
    }

    /** Passes [body] a function that connects one and the same agent to [entry] and returns the agent's end. */
    private suspend fun withAgentLinks(
        entry: RunEntry,
        body: suspend (suspend () -> Link) -> Unit,
    ) = coroutineScope {
        EventLoop("test").use { loop ->
            val accepted = Channel<Link>(Channel.UNLIMITED)
            val scope = CoroutineScope(coroutineContext + Job())
            val listener =
                LinkListener.bind(
                    NodeAddress("127.0.0.1", 0),
                    loop,
                    scope,
                    LENIENT_TIMING,
                ) { accepted.send(it) }
            scope.launch { entry.run() }
            withTimeout(DEADLINE_MILLIS) {
                body {
                    val agentEnd = Link.dial(NodeAddress("127.0.0.1", listener.port), loop, scope, LENIENT_TIMING)
                    val entryEnd = accepted.receive()
                    entry.tell(RunEntryInput.AgentConnected(RunAgentHello(ProcessId("agent", 1), DOMAIN), entryEnd))
                    entry.tell(RunEntryInput.AgentMessage(entryEnd, UpstreamReported(REPORT, 0)))
                    agentEnd
                }
            }
            scope.cancel()
        }
    }

    private suspend fun Link.nextNumbers(): List<Int> = (incoming.receive() as StartRuns).order.runs.map { it.number }

    private companion object {
        val IDENTITY = ProcessId("entry", 1)
        val PEER = ProcessId("peer", 1)
        const val INSTANTS = 10
        const val DEADLINE_MILLIS = 60_000L

        /** Long enough that no connection is closed as silent on a busy machine. */
        val LENIENT_TIMING = LinkTiming(silenceMillis = 120_000)
        val DOMAIN = FailureDomain("marka")
        val REPORT = UpstreamReport("u", ServiceName("s"), Room(8_000, 512), Room(8_000, 512), 1.0, accepting = true)
    }
}
