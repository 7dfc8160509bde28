package io.egretlock.entry

import io.egretlock.core.home.Home
import io.egretlock.core.home.ServiceDispatchers
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.ForwardCancel
import io.egretlock.protocol.ForwardQuery
import io.egretlock.protocol.ForwardReply
import io.egretlock.protocol.ForwardStateReply
import io.egretlock.protocol.JobState
import io.egretlock.protocol.Message
import io.egretlock.protocol.RunningJob
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class InheritedJobTest {
    private val self = member("heir")
    private val leaver = member("leaver")
    private val job = JobId("a")
    private val cancelled = JobOutcome.WithoutAnswer(Verdict.MayHaveRun(Reason.CANCELLED, "Cancelled."))

    @Test
    fun `given a job that runs at a leaver, when cancelled at the heir, then the leaver cancels it`() =
        withHeir { router -> assertEquals(cancelled, router.cancel(job, 0)) }

    @Test
    fun `given a job that runs at a leaver, when its state is queried at the heir, then the leaver answers`() =
        withHeir { router -> assertEquals(JobState.RUNNING, router.state(job, 0)) }

    private fun withHeir(body: suspend (JobRouter) -> Unit) =
        runBlocking {
            val home = HomeTask(self, Home(ServiceDispatchers { fairDispatcher(it) }), metrics()) { 0 }
            val running = launch { home.run() }
            home.inherit(RunningJob(job, leaver))
            body(JobRouter(HereLocator, home, AnsweringLeaver()) { 0 })
            running.cancel()
        }

    private suspend fun HomeTask.inherit(running: RunningJob) {
        val reply = CompletableDeferred<Boolean>()
        val part = ClaimHandover(1, leaver.entry, self.entry, emptySet(), emptyList(), listOf(running))
        send(HomeInput.Inherit(part, reply))
        reply.await()
    }

    private fun metrics() = EntryMetrics(PrometheusRegistry())

    private fun member(name: String) = EntryMember(ProcessId(name, 1), NodeAddress("127.0.0.1", 1))

    private object HereLocator : JobLocator {
        override fun locate(
            id: JobId,
            createdAtMillis: Long,
        ): JobLocation = JobLocation.Local
    }

    private inner class AnsweringLeaver : PeerCalls {
        override suspend fun call(
            member: EntryMember,
            timeoutMillis: Long,
            message: (Long) -> Message,
        ): Message? =
            when (message(1).takeIf { member == leaver }) {
                is ForwardCancel -> ForwardReply(1, cancelled)
                is ForwardQuery -> ForwardStateReply(1, JobState.RUNNING)
                else -> null
            }
    }
}
