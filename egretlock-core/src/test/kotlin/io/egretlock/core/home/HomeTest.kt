package io.egretlock.core.home

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.FirstInFirstOutDispatcher
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class HomeTest {
    private val service = ServiceName("beatday-booking")
    private val team = TeamName("haddad")
    private val agent = ProcessId("agent-1", 1)
    private var home =
        Home(ServiceDispatchers { FirstInFirstOutDispatcher() }).apply {
            applySettings(StoredTeamSettings(1, TeamSettings(team, services = listOf(ServiceSettings(service)))))
        }

    @Test
    fun `given credits, when a job is submitted, then each task starts once`() {
        connect(agent, credits = 8)
        home.submit(job("a", tasks = 3), remainingMillis = 1_000, nowMillis = 0)
        assertEquals(listOf(0, 1, 2), starts(0).map { it.attempt.task.index })
        home.submit(job("a", tasks = 3), remainingMillis = 1_000, nowMillis = 1)
        assertEquals(emptyList<HomeEffect.StartTask>(), starts(1))
    }

    @Test
    fun `given all tasks answered, when the last one ends, then the answers are complete and in task order`() {
        connect(agent, credits = 8)
        home.submit(job("a", tasks = 2), remainingMillis = 1_000, nowMillis = 0)
        home.takeEffects(0)
        finish(agent, "a", 1, TaskOutcome.Succeeded("second"))
        finish(agent, "a", 0, TaskOutcome.Succeeded("first"))
        assertEquals(listOf(JobOutcome.Complete(listOf("first", "second"))), ended(1))
    }

    @Test
    fun `given the same id with another body, when submitted, then the second submission is refused`() {
        connect(agent, credits = 8)
        home.submit(job("a", tasks = 2), remainingMillis = 1_000, nowMillis = 0)
        val second = home.submit(job("a", tasks = 3), remainingMillis = 1_000, nowMillis = 0) as Submission.Ended
        assertEquals(Reason.CONFLICTING_BODY, (second.outcome as JobOutcome.WithoutAnswer).verdict.reason)
    }

    @Test
    fun `given a draining home, when jobs are submitted, then a claimed one is joined and a new one is not run`() {
        connect(agent, credits = 8)
        home.submit(job("a", tasks = 1), remainingMillis = 1_000, nowMillis = 0)
        home.stopClaiming()
        assertEquals(Submission.Waiting, home.submit(job("a", tasks = 1), remainingMillis = 1_000, nowMillis = 1))
        val refused = home.submit(job("b", tasks = 1), remainingMillis = 1_000, nowMillis = 1) as Submission.Ended
        val verdict = Verdict.NotRun(Reason.DRAINING, "The home of the job is draining.", retryAfterMillis = 1_000)
        assertEquals(JobOutcome.WithoutAnswer(verdict), refused.outcome)
    }

    @Test
    fun `given a placed task, when a new incarnation of its agent connects, then the job may have run`() {
        connect(agent, credits = 8)
        home.submit(job("a", tasks = 1), remainingMillis = 1_000, nowMillis = 0)
        home.takeEffects(0)
        connect(ProcessId("agent-1", 2), credits = 8)
        assertTrue(verdicts(1).single() is Verdict.MayHaveRun)
    }

    @Test
    fun `given a placed task, when its agent reconnects without having seen it, then a new attempt starts`() {
        connect(agent, credits = 1)
        home.submit(job("a", tasks = 1), remainingMillis = 10_000, nowMillis = 0)
        home.takeEffects(0)
        home.agentDisconnected(agent, 1)
        connect(agent, credits = 1)
        val asked = home.takeEffects(2).filterIsInstance<HomeEffect.ReconcileTasks>().single()
        home.attemptNotStarted(agent, asked.attempts.single(), 3)
        assertEquals(listOf(2), starts(3).map { it.attempt.attempt })
    }

    @Test
    fun `given a placed task, when its agent stays disconnected past the grace time, then the job may have run`() {
        connect(agent, credits = 1)
        home.submit(job("a", tasks = 1), remainingMillis = 60_000, nowMillis = 0)
        home.takeEffects(0)
        home.agentDisconnected(agent, 1)
        home.tick(5_002)
        assertTrue(verdicts(5_002).single() is Verdict.MayHaveRun)
    }

    @Test
    fun `given no placed task, when the deadline passes, then the job has not run and never starts`() {
        connect(agent, credits = 0)
        home.submit(job("a", tasks = 1), remainingMillis = 100, nowMillis = 0)
        home.tick(100)
        assertTrue(verdicts(100).single() is Verdict.NotRun)
        home.creditsGranted(agent, 1)
        assertEquals(emptyList<HomeEffect.StartTask>(), starts(101))
    }

    @Test
    fun `given a started task, when its agent reports it as not run, then the job may have run`() {
        connect(agent, credits = 1)
        home.submit(job("a", tasks = 1), remainingMillis = 100, nowMillis = 0)
        home.takeEffects(0)
        finish(agent, "a", 0, TaskOutcome.Ended(Verdict.NotRun(Reason.UPSTREAM_LOST, "gone")))
        assertTrue(verdicts(1).single() is Verdict.MayHaveRun)
    }

    @Test
    fun `given a quota of one, when the agent with the placed task is lost, then the next job starts`() {
        useFairDispatcher(concurrency = 1)
        connect(agent, credits = 1)
        connect(ProcessId("agent-2", 1), credits = 1)
        listOf("a", "b").forEach { home.submit(job(it, tasks = 1), remainingMillis = 60_000, nowMillis = 0) }
        home.agentDisconnected(starts(0).single().agent, 1)
        home.tick(5_002)
        assertEquals(listOf("b"), starts(5_002).map { it.attempt.task.job.value })
    }

    @Test
    fun `given a quota of one, when a cancelled job's task never starts, then the next job starts`() {
        useFairDispatcher(concurrency = 1)
        connect(agent, credits = 2)
        listOf("a", "b").forEach { home.submit(job(it, tasks = 1), remainingMillis = 60_000, nowMillis = 0) }
        val attempt = starts(0).single().attempt
        home.cancel(JobId("a"), 1)
        home.attemptNotStarted(agent, attempt, 2)
        assertEquals(listOf("b"), starts(2).map { it.attempt.task.job.value })
    }

    private fun useFairDispatcher(concurrency: Int) {
        val limits = ServiceSettings(service, concurrency = concurrency)
        home = Home(ServiceDispatchers { fairDispatcher(it) })
        home.applySettings(StoredTeamSettings(1, TeamSettings(team, services = listOf(limits))))
    }

    private fun connect(
        agent: ProcessId,
        credits: Int,
    ) {
        val upstream = UpstreamAnnouncement(service, slots = 8, connections = 64, address = "http://127.0.0.1:1")
        home.agentConnected(agent, AgentView(agent, FailureDomain("marka"), upstream), 0)
        home.creditsGranted(agent, credits)
    }

    private fun job(
        id: String,
        tasks: Int,
    ) = Job(
        id = JobId(id),
        team = team,
        service = service,
        createdAtMillis = 0,
        deadlineMillis = 1_000,
        tasks = List(tasks) { TaskSpecification(OperationName("reserve"), idempotent = false, payload = "{}") },
    )

    private fun finish(
        agent: ProcessId,
        job: String,
        index: Int,
        outcome: TaskOutcome,
    ) = home.taskFinished(agent, TaskId(JobId(job), index), outcome, runMillis = 5, nowMillis = 1)

    private fun starts(nowMillis: Long) = home.takeEffects(nowMillis).filterIsInstance<HomeEffect.StartTask>()

    private fun ended(nowMillis: Long) =
        home.takeEffects(nowMillis).filterIsInstance<HomeEffect.JobEnded>().map { it.outcome }

    private fun verdicts(nowMillis: Long) =
        ended(nowMillis).filterIsInstance<JobOutcome.WithoutAnswer>().map { it.verdict }
}
