package io.egretlock.entry

import io.egretlock.core.home.Home
import io.egretlock.core.home.ServiceDispatchers
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.ForwardReply
import io.egretlock.protocol.Message
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class JobRouterTest {
    private val self = member("entry-1")
    private val leaver = member("entry-2")
    private val heir = member("entry-3")
    private val job = Job(JobId("a"), TeamName("team"), ServiceName("checks"), 0, DEADLINE_MILLIS, emptyList())
    private val complete = JobOutcome.Complete(listOf("1"))
    private val lost =
        JobOutcome.WithoutAnswer(
            Verdict.MayHaveRun(Reason.HOME_LOST, "Entry 'entry-2@1', the home of the job, does not answer."),
        )

    @Test
    fun `given a home that ends during the call, when an heir is known by then, then the heir is asked`() =
        assertEquals(
            complete,
            submit(listOf(JobLocation.Remote(leaver), JobLocation.Remote(heir)), mapOf(heir to complete)),
        )

    @Test
    fun `given a home that ends during the call, when no heir is known, then the job may have run`() =
        assertEquals(lost, submit(listOf(JobLocation.Remote(leaver), JobLocation.Remote(leaver)), emptyMap()))

    @Test
    fun `given a home that ends during the call, when this entry is the heir, then this entry answers`() {
        val refusal = Verdict.MayHaveRun(Reason.RETENTION, "No longer known.")
        assertEquals(
            JobOutcome.WithoutAnswer(refusal),
            submit(listOf(JobLocation.Remote(leaver), JobLocation.LocalIfKnown(refusal)), emptyMap()),
        )
    }

    @Test
    fun `given a home that ends at the deadline, when the job has no time left, then no other entry is asked`() =
        assertEquals(
            lost,
            submit(
                listOf(JobLocation.Remote(leaver), JobLocation.Remote(heir)),
                mapOf(heir to complete),
                callMillis = DEADLINE_MILLIS,
            ),
        )

    private fun submit(
        locations: List<JobLocation>,
        answers: Map<EntryMember, JobOutcome>,
        callMillis: Long = 1,
    ): JobOutcome =
        runBlocking {
            val peers = AnsweringPeers(answers, callMillis)
            val home = HomeTask(self, Home(ServiceDispatchers { fairDispatcher(it) }), metrics(), peers::nowMillis)
            val running = launch { home.run() }
            val router = JobRouter(SuccessiveLocations(locations), home, peers, nowMillis = peers::nowMillis)
            router.submit(job, DEADLINE_MILLIS).also { running.cancel() }
        }

    private fun metrics() = EntryMetrics(PrometheusRegistry())

    private fun member(name: String) = EntryMember(ProcessId(name, 1), NodeAddress("127.0.0.1", 1))

    private class SuccessiveLocations(
        locations: List<JobLocation>,
    ) : JobLocator {
        private val next = locations.iterator()

        override fun locate(
            id: JobId,
            createdAtMillis: Long,
        ): JobLocation = next.next()
    }

    /** Peers of which those without an answer fail each call after [callMillis]. */
    private class AnsweringPeers(
        private val answers: Map<EntryMember, JobOutcome>,
        private val callMillis: Long,
    ) : PeerCalls {
        private var now = 0L

        fun nowMillis(): Long = now

        override suspend fun call(
            member: EntryMember,
            timeoutMillis: Long,
            message: (Long) -> Message,
        ): Message? {
            now += callMillis
            return answers[member]?.let { ForwardReply(1, it) }
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 1_000L
    }
}
