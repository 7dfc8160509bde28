package io.egretlock.core.placement

import io.egretlock.core.job.JobId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.Verdict
import io.egretlock.core.settings.ServiceSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FairDispatcherTest {
    private val dispatcher = fairDispatcher(SERVICE).apply { applySettings(settings()) }

    @Test
    fun `given credits, when a job is submitted, then as many tasks start as there are credits`() {
        withAgent("a", credits = 2)
        assertEquals(Admission.Admitted, dispatcher.submitNow(job("j", tasks = 3)))
        assertEquals(1, dispatcher.creditsWanted())
        assertEquals(listOf(TaskId(JobId("j"), 0), TaskId(JobId("j"), 1)), dispatcher.placements(0).map { it.task })
        assertEquals(1, dispatcher.creditsWanted())
    }

    @Test
    fun `given an unknown team, when it submits a job, then the job is refused as not run`() =
        assertRefused(
            Reason.UNKNOWN_TEAM,
            "Team 'south' has no settings.",
            dispatcher.submitNow(job("j", team = OTHER_TEAM)),
        )

    @Test
    fun `given no agent, when a job is submitted, then it is refused with a retry time`() {
        val refusal = Verdict.NotRun(Reason.NO_UPSTREAM, "No upstream announces service 'net-check'.", 1_000)
        assertEquals(Admission.Refused(refusal), dispatcher.submitNow(job("j")))
    }

    @Test
    fun `given a slow agent, when no task has started for longer than a second, then waiting tasks start there`() {
        learnAt("normal", runMillis = 10)
        learnAt("slow", runMillis = 1_000)
        dispatcher.creditsRecalled(agentId("normal"), 4)
        dispatcher.submitNow(job("j", tasks = 2))
        val probes = dispatcher.placements(0).size
        assertEquals(listOf(0, 0), listOf(0L, 1_000L).map { dispatcher.placements(it).size })
        assertEquals(2 - probes, dispatcher.placements(1_001).size)
        assertEquals(true, probes < 2)
    }

    @Test
    fun `given a full queue, when a job is submitted, then it is refused because of the quota`() {
        dispatcher.applySettings(settings(limits = ServiceSettings(SERVICE, longestQueue = 3)))
        withAgent("a", credits = 0)
        dispatcher.submitNow(job("j1", tasks = 2))
        assertRefused(
            Reason.QUOTA,
            "2 tasks of team 'north' wait; at most 3 may.",
            dispatcher.submitNow(job("j2", tasks = 2)),
        )
    }

    @Test
    fun `given a quota, when it is raised, then queued tasks start`() {
        dispatcher.applySettings(settings(limits = ServiceSettings(SERVICE, concurrency = 1)))
        withAgent("a", credits = 4)
        dispatcher.submitNow(job("j", tasks = 3))
        assertEquals(1, dispatcher.placements(0).size)
        assertEquals(0, dispatcher.placements(0).size)
        dispatcher.applySettings(settings(revision = 2, limits = ServiceSettings(SERVICE, concurrency = 3)))
        assertEquals(2, dispatcher.placements(0).size)
    }

    @Test
    fun `given current settings, when older ones arrive, then they are ignored`() {
        dispatcher.applySettings(settings(revision = 5, limits = ServiceSettings(SERVICE, concurrency = 2)))
        dispatcher.applySettings(settings(revision = 4, limits = ServiceSettings(SERVICE, concurrency = 4)))
        withAgent("a", credits = 4)
        dispatcher.submitNow(job("j", tasks = 4))
        assertEquals(2, dispatcher.placements(0).size)
    }

    @Test
    fun `given a queued job, when it is withdrawn, then none of its tasks start and no credits are wanted`() {
        withAgent("a", credits = 0)
        dispatcher.submitNow(job("j", tasks = 3))
        dispatcher.withdraw(JobId("j"))
        dispatcher.creditsGranted(agentId("a"), 4)
        assertEquals(emptyList<Placement>(), dispatcher.placements(0))
        assertEquals(0, dispatcher.creditsWanted())
    }

    @Test
    fun `given a job past its deadline, when credits arrive, then it does not start and is reported once`() {
        withAgent("a", credits = 0)
        dispatcher.submitNow(job("j", deadlineMillis = 100))
        dispatcher.creditsGranted(agentId("a"), 1)
        assertEquals(emptyList<Placement>(), dispatcher.placements(100))
        assertEquals(listOf(JobId("j")), dispatcher.overdueJobs(100))
        assertEquals(emptyList<JobId>(), dispatcher.overdueJobs(100))
    }

    @Test
    fun `given a placed task, when it is returned, then it starts before later tasks`() {
        withAgent("a", credits = 1)
        dispatcher.submitNow(job("j", tasks = 2))
        val first = dispatcher.placements(0).single()
        dispatcher.taskRequeued(first.task, 1)
        dispatcher.creditsGranted(agentId("a"), 1)
        assertEquals(listOf(first), dispatcher.placements(1))
    }

    @Test
    fun `given a withdrawn job, when its task is returned, then the task does not start again`() {
        withAgent("a", credits = 1)
        dispatcher.submitNow(job("j"))
        val placed = dispatcher.placements(0).single()
        dispatcher.withdraw(JobId("j"))
        dispatcher.taskRequeued(placed.task, 1)
        dispatcher.creditsGranted(agentId("a"), 1)
        assertEquals(emptyList<Placement>(), dispatcher.placements(1))
    }

    @Test
    fun `given learned run times, when long tasks fill their share, then short ones still start`() {
        withAgent("a", credits = 0)
        learn()
        dispatcher.creditsGranted(agentId("a"), 4)
        dispatcher.submitNow(job("long", tasks = 4, operation = REVIEW), 100)
        assertEquals(listOf("long", "long"), dispatcher.placements(100).map { it.task.job.value })
        dispatcher.submitNow(job("short", tasks = 4), 100)
        assertEquals(listOf("short", "short"), dispatcher.placements(100).map { it.task.job.value })
    }

    @Test
    fun `given waiting long tasks at their share of the slots, when credits are free, then no more are wanted`() {
        withAgent("a", credits = 0)
        learn()
        dispatcher.submitNow(job("long", tasks = 4, operation = REVIEW), 100)
        assertEquals(2, dispatcher.creditsWanted())
        dispatcher.creditsGranted(agentId("a"), 4)
        assertEquals(2, dispatcher.placements(100).size)
        assertEquals(0, dispatcher.creditsWanted())
    }

    @Test
    fun `given an agent on which all tasks fail, when its failures are recorded, then it gets only probes`() {
        withAgent("bad", credits = 0)
        withAgent("good", credits = 0)
        dispatcher.submitNow(job("j", tasks = 20))
        repeat(3) { round -> runOne("bad", succeeded = false, nowMillis = round.toLong()) }
        dispatcher.creditsGranted(agentId("bad"), 1)
        assertEquals(emptyList<Placement>(), dispatcher.placements(10))
        assertEquals(1, dispatcher.placements(503).size)
    }

    @Test
    fun `given a withdrawn job, when its tasks end without success, then the agent is not suspended`() {
        withAgent("a", credits = 4)
        withAgent("b", credits = 0)
        dispatcher.submitNow(job("j", tasks = 4))
        val placed = dispatcher.placements(0)
        dispatcher.withdraw(JobId("j"))
        placed.forEach { dispatcher.taskEnded(it.task, it.agent, null, succeeded = false, nowMillis = 1) }
        dispatcher.creditsGranted(agentId("a"), 1)
        dispatcher.submitNow(job("next"), 2)
        assertEquals(1, dispatcher.placements(2).size)
    }

    private fun learn() {
        dispatcher.submitNow(job("s", tasks = 1))
        dispatcher.submitNow(job("l", tasks = 1, operation = REVIEW))
        runOne("a", succeeded = true, nowMillis = 0, runMillis = 100)
        runOne("a", succeeded = true, nowMillis = 0, runMillis = 2_000)
    }

    private fun runOne(
        agent: String,
        succeeded: Boolean,
        nowMillis: Long,
        runMillis: Long = 100,
    ) {
        dispatcher.creditsGranted(agentId(agent), 1)
        val placed = dispatcher.placements(nowMillis).single()
        dispatcher.taskEnded(placed.task, placed.agent, runMillis, succeeded, nowMillis)
    }

    private fun learnAt(
        agent: String,
        runMillis: Long,
    ) {
        withAgent(agent, credits = 4)
        dispatcher.submitNow(job("learn-$agent", tasks = 4))
        dispatcher.placements(0).forEach { placed ->
            dispatcher.taskEnded(placed.task, placed.agent, runMillis, succeeded = true, nowMillis = 0)
        }
        dispatcher.creditsGranted(agentId(agent), 4)
    }

    private fun withAgent(
        name: String,
        credits: Int,
    ) {
        dispatcher.agentChanged(view(name))
        dispatcher.creditsGranted(agentId(name), credits)
    }

    private fun assertRefused(
        reason: Reason,
        detail: String,
        admission: Admission,
    ) {
        assertTrue(admission is Admission.Refused)
        val verdict = (admission as Admission.Refused).verdict
        assertEquals(reason to detail, verdict.reason to verdict.detail)
    }
}
