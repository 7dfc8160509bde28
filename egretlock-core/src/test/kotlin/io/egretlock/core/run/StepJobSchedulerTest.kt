package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.run.RunFixtures.agent
import io.egretlock.core.run.RunFixtures.job
import io.egretlock.core.run.RunFixtures.ownDomain
import io.egretlock.core.run.RunFixtures.queue
import io.egretlock.core.run.RunFixtures.report
import io.egretlock.core.run.RunFixtures.run
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class StepJobSchedulerTest {
    private val scheduler = RunFixtures.scheduler()
    private val first = agent("first")
    private val second = agent("second")

    private fun connect(
        agent: ProcessId,
        cores: Int,
        nowMillis: Long = 0,
        seenSequence: Long = 0,
    ) = scheduler.onAgentReported(agent, ownDomain, report(cores), seenSequence, nowMillis)

    private fun succeed(
        agent: ProcessId,
        run: RunId,
        nowMillis: Long,
    ) = scheduler.onRunEnded(agent, run, RunEnd.SUCCEEDED, 50.0, nowMillis)

    private fun verdict(effects: List<StepJobEffect>): Verdict =
        (effects.answers().single().outcome as StepJobOutcome.GivenUp).verdict

    @Test
    fun `a job is answered once, when all of its tasks have succeeded`() {
        connect(first, 10)
        val starts = scheduler.submit(job("a", tasks = 2), queue(), 1_500, 0).starts()
        assertEquals(
            listOf(0, 1),
            starts
                .single()
                .order.runs
                .map { it.index },
        )
        assertTrue(succeed(first, run("a", 0), 50).answers().isEmpty())
        val answers = succeed(first, run("a", 1), 60).answers()
        assertEquals(StepJobOutcome.Succeeded, answers.single().outcome)
        assertTrue(succeed(first, run("a", 1), 70).isEmpty())
    }

    @Test
    fun `the answer of a job that succeeded recently is repeated without a second run`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 1_500, 0)
        succeed(first, run("a"), 50)
        val effects = scheduler.submit(job("a"), queue(), 1_500, 100)
        assertEquals(StepJobOutcome.Succeeded, effects.answers().single().outcome)
        assertTrue(effects.starts().isEmpty())
    }

    @Test
    fun `the reports and ends of a batch cause one placement, with all that they changed`() {
        connect(first, 1)
        scheduler.submit(job("a", tasks = 4), queue(), 1_500, 0)
        val inBatch = mutableListOf<StepJobEffect>()
        val afterBatch =
            scheduler.batch({ 20 }) {
                inBatch += scheduler.onAgentReported(first, ownDomain, report(1), seenSequence = 1, nowMillis = 20)
                inBatch += connect(second, 2, nowMillis = 20)
                inBatch += succeed(first, run("a", 0), nowMillis = 20)
            }
        assertTrue(inBatch.isEmpty())
        assertEquals(listOf(first, second), afterBatch.starts().map { it.agent }.sortedBy { it.name })
        assertEquals(3, afterBatch.starts().sumOf { it.order.runs.size })
        assertTrue(scheduler.batch({ 30 }) {}.isEmpty())
    }

    @Test
    fun `a job that arrives within a batch is placed at once, so that it is not work ahead of the next one`() {
        connect(first, 10)
        val effects = mutableListOf<StepJobEffect>()
        scheduler.batch({ 0 }) { effects += scheduler.submit(job("a"), queue(), 1_500, 0) }
        assertEquals(1, effects.starts().size)
    }

    @Test
    fun `after a start, admission counts the room that connected agents are expected to report`() {
        connectWithoutReport(nowMillis = 0)
        assertEquals(emptyList<JobId>(), submitBurstAndListRefused(nowMillis = 500))
    }

    @Test
    fun `agents that have not reported an upstream in time are not counted for admission`() {
        connectWithoutReport(nowMillis = 0)
        assertEquals(listOf(JobId("d")), submitBurstAndListRefused(nowMillis = 2_500))
    }

    @Test
    fun `agents that are lost before they report are not counted for admission`() {
        connectWithoutReport(nowMillis = 0).forEach { scheduler.onAgentLost(it, 100) }
        assertEquals(listOf(JobId("d")), submitBurstAndListRefused(nowMillis = 500))
    }

    private fun connectWithoutReport(nowMillis: Long): List<ProcessId> =
        List(9) { agent("other-$it") }.onEach { scheduler.onAgentConnected(it, nowMillis) }

    /** Submits four jobs to an agent with room for one; each can wait 108 ms at most and takes 100 ms. */
    private fun submitBurstAndListRefused(nowMillis: Long): List<JobId> {
        connect(first, 2, nowMillis)
        val effects =
            listOf("a", "b", "c", "d").flatMap { scheduler.submit(job(it, tasks = 2), queue(), 1_500, nowMillis) }
        return effects.answers().map { it.job }
    }

    @Test
    fun `a job that is active already is not started again`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 1_500, 0)
        assertTrue(scheduler.submit(job("a"), queue(), 1_500, 20).isEmpty())
    }

    @Test
    fun `a failed task runs on another agent until its attempts are used up`() {
        connect(first, 10)
        connect(second, 10)
        val firstStart = scheduler.submit(job("a"), queue(attempts = 2), 1_500, 0).starts().single()
        val retry = scheduler.onRunEnded(firstStart.agent, run("a", 0, 1), RunEnd.FAILED, 10.0, 10).starts().single()
        assertEquals(setOf(first, second), setOf(firstStart.agent, retry.agent))
        assertEquals(
            2,
            retry.order.runs
                .single()
                .number,
        )
        val answer = scheduler.onRunEnded(retry.agent, run("a", 0, 2), RunEnd.FAILED, 10.0, 20).answers().single()
        assertTrue(answer.outcome is StepJobOutcome.Failed)
    }

    @Test
    fun `ends other than failures do not count as attempts`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(attempts = 1), 5_000, 0)
        val ends = listOf(RunEnd.STOPPED, RunEnd.LOST, RunEnd.STALLED, RunEnd.UNHEALTHY, RunEnd.NOT_STARTED)
        ends.forEachIndexed { index, end ->
            val effects = scheduler.onRunEnded(first, run("a", 0, index + 1), end, 0.0, 10L * index)
            assertTrue(effects.answers().isEmpty(), "$end")
        }
    }

    @Test
    fun `a run number that was used is followed by one that no earlier entry can have used`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 1_500, 0)
        val retry = scheduler.onRunEnded(first, run("a"), RunEnd.NUMBER_USED, 0.0, 5).starts().single()
        assertEquals(
            RunFixtures.EPOCH_SECONDS,
            retry.order.runs
                .single()
                .number,
        )
    }

    @Test
    fun `tasks of a lost agent are placed elsewhere only when their runs can no longer be active`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 5_000, 0)
        connect(first, 9, seenSequence = 1)
        connect(second, 10)
        assertTrue(scheduler.onAgentLost(first, 100).starts().isEmpty())
        assertTrue(scheduler.tick(100 + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS - 1).starts().isEmpty())
        val retry = scheduler.tick(100 + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS).starts().single()
        assertEquals(second, retry.agent)
    }

    /** Guards against two runs of a task at a time after a cut has held up the order of the first one. */
    @Test
    fun `tasks of an order that may still reach a lost agent are placed only after the runs that it may start`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 5_000, 20)
        connect(second, 10)
        scheduler.onAgentLost(first, 620)
        val endsAtMillis = 20 + RunOrder.VALID_MILLIS + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS
        assertTrue(scheduler.tick(endsAtMillis - 1).starts().isEmpty())
        assertEquals(
            second,
            scheduler
                .tick(endsAtMillis)
                .starts()
                .single()
                .agent,
        )
    }

    @Test
    fun `tasks of a lost agent are placed at once when its next process has reported`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 5_000, 0)
        scheduler.onAgentLost(first, 100)
        val retry =
            scheduler.onAgentReported(agent("first", incarnation = 2), ownDomain, report(10), 0, 300).starts().single()
        assertEquals(agent("first", incarnation = 2), retry.agent)
    }

    @Test
    fun `the end of an earlier run is ignored`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 5_000, 0)
        scheduler.onRunEnded(first, run("a", 0, 1), RunEnd.STOPPED, 0.0, 10)
        assertTrue(scheduler.onRunEnded(first, run("a", 0, 1), RunEnd.SUCCEEDED, 10.0, 20).answers().isEmpty())
        assertNotNull(scheduler.find(JobId("a")))
    }

    @Test
    fun `a job is stopped without an answer when it is abandoned`() {
        connect(first, 10)
        scheduler.submit(job("a", tasks = 2), queue(), 1_500, 0)
        val effects = scheduler.abandon(JobId("a"), 20)
        assertEquals(listOf(run("a", 0), run("a", 1)), effects.stops().map { it.run })
        assertTrue(effects.answers().isEmpty())
    }

    @Test
    fun `a job that never started is refused as not run when its caller's time is over`() {
        scheduler.submit(job("a"), queue(), 100, 0)
        val verdict = verdict(scheduler.tick(100))
        assertTrue(verdict is Verdict.NotRun && (verdict.retryAfterMillis ?: 0) > 0)
    }

    @Test
    fun `jobs that arrive before any agent has reported wait for one`() {
        scheduler.submit(job("a"), queue(), 1_500, 0)
        assertTrue(scheduler.submit(job("b"), queue(), 1_500, 1).answers().isEmpty())
        assertEquals(listOf("a", "b"), connect(first, 10, nowMillis = 60).starts().map { it.order.job.value }.sorted())
    }

    @Test
    fun `a job that has not started is refused after its latency objective`() {
        scheduler.submit(job("a", estimatedMillis = 100), queue(slackFactor = 1.6, targetMillis = 60), 5_000, 0)
        assertTrue(scheduler.tick(220).answers().isEmpty())
        assertTrue(verdict(scheduler.tick(221)) is Verdict.NotRun)
    }

    @Test
    fun `a started job is stopped and may have run when its caller's time is over`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 1_500, 0)
        val effects = scheduler.tick(1_500)
        assertTrue(verdict(effects) is Verdict.MayHaveRun)
        assertEquals(run("a"), effects.stops().single().run)
    }

    @Test
    fun `a job that is too large for every upstream is refused at once`() {
        connect(first, 10)
        val verdict = verdict(scheduler.submit(job("a", room = Room(20_000, 64)), queue(), 1_500, 0))
        assertEquals(Reason.IMPOSSIBLE, verdict.reason)
    }

    @Test
    fun `a job with an unsupported feature is refused at once`() {
        connect(first, 10)
        val verdict = verdict(scheduler.submit(job("a").copy(unsupported = setOf("gang")), queue(), 1_500, 0))
        assertTrue(verdict is Verdict.NotRun)
        val advised = verdict(scheduler.submit(job("b"), queue().copy(needsAdvice = true), 1_500, 0))
        assertTrue(advised is Verdict.NotRun)
    }

    @Test
    fun `tasks of a step wait for the step that it depends on`() {
        connect(first, 10)
        val steps = listOf(JobStep(1, RunFixtures.core, 50), JobStep(1, RunFixtures.core, 50, after = listOf(0)))
        val starts = scheduler.submit(StepJob(JobId("a"), "", steps), queue(), 1_500, 0).starts()
        assertEquals(
            listOf(0),
            starts
                .single()
                .order.runs
                .map { it.step },
        )
        assertEquals(
            listOf(1),
            succeed(first, run("a"), 50)
                .starts()
                .single()
                .order.runs
                .map { it.step },
        )
    }

    @Test
    fun `room of orders that a report does not cover is not free`() {
        connect(first, 2)
        scheduler.submit(job("a", tasks = 2), queue(), 5_000, 0)
        scheduler.onAgentReported(first, ownDomain, report(2), seenSequence = 0, nowMillis = 5)
        assertTrue(scheduler.submit(job("b"), queue(), 5_000, 6).starts().isEmpty())
        val starts = scheduler.onAgentReported(first, ownDomain, report(2), seenSequence = 1, nowMillis = 7).starts()
        assertEquals(JobId("b"), starts.single().order.job)
    }

    /** Guards against two runs at a time of a job that is repeated while the runs of its first attempt are being stopped. */
    @Test
    fun `a job that comes again is placed only when the runs of its earlier attempt are over`() {
        connect(first, 10)
        connect(second, 10)
        val ordered = scheduler.submit(job("a"), queue(), 1_500, 0).starts().single()
        scheduler.abandon(JobId("a"), 10)
        assertTrue(scheduler.submit(job("a"), queue(), 1_500, 20).starts().isEmpty())
        val effects = scheduler.onRunEnded(ordered.agent, run("a"), RunEnd.STOPPED, 20.0, 30)
        assertEquals(1, effects.starts().size)
    }

    @Test
    fun `a job that comes again waits as long as runs of its earlier attempt may go on at a lost agent`() {
        connect(first, 10)
        scheduler.submit(job("a"), queue(), 1_500, 0)
        scheduler.abandon(JobId("a"), 10)
        scheduler.onAgentLost(first, 20, hasReconnected = true)
        connect(second, 10, nowMillis = 20)
        assertTrue(scheduler.submit(job("a"), queue(targetMillis = 5_000), 5_000, 30).starts().isEmpty())
        assertTrue(scheduler.tick(20 + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS - 1).starts().isEmpty())
        assertEquals(1, scheduler.tick(20 + StepJobScheduler.RUNS_ENDED_AFTER_MILLIS).starts().size)
    }

    /** Guards against a first home that works on while a caller may have submitted the job to another entry. */
    @Test
    fun `runs without confirmation are stopped and started again once the other entry has confirmed the job`() {
        val ownership = JobOwnership(ProcessId("entry", 1))
        val scheduler = RunFixtures.scheduler(ownership = ownership)
        val other = ProcessId("other", 1)
        ownership.updateReachable(setOf(other), -OwnershipTiming.DOUBT_MILLIS)
        scheduler.onAgentReported(first, ownDomain, report(10), seenSequence = 0, nowMillis = 0)
        val started = scheduler.submit(job("a", estimatedMillis = 5_000), queue(), 20_000, 0).starts().single()
        val limit = OwnershipTiming().confirmedFromMillis
        assertEquals(limit, started.order.confirmWithinMillis)
        assertEquals(listOf(StepJobEffect.Stop(first, run("a"))), scheduler.tick(limit).stops())
        assertTrue(scheduler.onRunEnded(first, run("a"), RunEnd.STOPPED, 700.0, limit + 50).starts().isEmpty())
        val announcement = checkNotNull(ownership.nextAnnouncement({ JobRuns.NONE }, limit + 60))
        ownership.onConfirmed(other, announcement.round, kept = emptyList(), limit + 70)
        val again = scheduler.onOwnershipChanged(limit + 70).starts().single()
        assertEquals(null, again.order.confirmWithinMillis)
    }

    /** Guards against refusals while room is free, since jobs that may not be placed were counted as work ahead. */
    @Test
    fun `jobs that wait for a confirmation don't let others be refused`() {
        val ownership = JobOwnership(ProcessId("entry", 1))
        val scheduler = RunFixtures.scheduler(ownership = ownership)
        ownership.updateReachable(setOf(ProcessId("other", 1)), -OwnershipTiming.DOUBT_MILLIS)
        scheduler.onAgentReported(first, ownDomain, report(1), seenSequence = 0, nowMillis = 0)
        scheduler.submit(job("a", estimatedMillis = 900), queue(), 20_000, 0)
        val limit = OwnershipTiming().confirmedFromMillis
        scheduler.tick(limit)
        scheduler.onRunEnded(first, run("a"), RunEnd.STOPPED, 700.0, limit + 50)
        scheduler.onAgentReported(first, ownDomain, report(1), seenSequence = 1, nowMillis = limit + 50)
        assertEquals(1, scheduler.submit(job("b"), queue(), 20_000, limit + 60).starts().size)
    }

    @Test
    fun `agents are told once a job is confirmed whose runs were ordered before`() {
        val ownership = JobOwnership(ProcessId("entry", 1))
        val scheduler = RunFixtures.scheduler(ownership = ownership)
        val other = ProcessId("other", 1)
        ownership.updateReachable(setOf(other), -OwnershipTiming.DOUBT_MILLIS)
        scheduler.onAgentReported(first, ownDomain, report(10), seenSequence = 0, nowMillis = 0)
        scheduler.submit(job("a", tasks = 2, estimatedMillis = 5_000), queue(), 20_000, 0)
        val announcedAt = OwnershipTiming().announcedFromMillis
        val announcement = checkNotNull(ownership.nextAnnouncement({ JobRuns.ACTIVE }, announcedAt))
        ownership.onConfirmed(other, announcement.round, kept = emptyList(), announcedAt + 2)
        val confirmation = StepJobEffect.ConfirmRuns(first, JobId("a"))
        assertEquals(listOf(confirmation), scheduler.onOwnershipChanged(announcedAt + 2))
        assertTrue(scheduler.tick(10_000).stops().isEmpty())
    }
}
