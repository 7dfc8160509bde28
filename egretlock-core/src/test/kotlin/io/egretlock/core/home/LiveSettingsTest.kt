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
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.settings.ServiceSettingsBuilder
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettingsBuilder
import io.egretlock.core.settings.teamSettings
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Tests changes of settings while jobs are queued and running. */
class LiveSettingsTest {
    private val service = ServiceName("beatday-booking")
    private val agent = ProcessId("agent-1", 1)
    private val home = Home(ServiceDispatchers { fairDispatcher(it) })
    private var revision = 0L

    @Test
    fun `given queued tasks, when limits are lowered below them, then none is dropped and the new quota applies`() {
        applyService { concurrency = 8 }
        connect(credits = 0)
        submit("a", tasks = 4)
        applyService {
            concurrency = 1
            longestQueue = 1
            largestJob = 1
        }
        home.creditsGranted(agent, 4)
        val order = mutableListOf<Int>()
        repeat(4) {
            val start = starts().single()
            order += start.attempt.task.index
            finish("a", start.attempt.task.index)
        }
        assertEquals(listOf(0, 1, 2, 3), order)
        assertTrue(ended().single() is JobOutcome.Complete)
    }

    @Test
    fun `given an accepted job, when its service is removed, then it finishes and new jobs are refused as not run`() {
        applyService { }
        connect(credits = 1)
        submit("a", tasks = 2)
        assertEquals(
            0,
            starts()
                .single()
                .attempt.task.index,
        )
        apply { }
        assertEquals(Reason.UNKNOWN_SERVICE, refusal(submit("b", tasks = 1)).reason)
        finish("a", 0)
        home.creditsGranted(agent, 1)
        assertEquals(
            1,
            starts()
                .single()
                .attempt.task.index,
        )
        finish("a", 1)
        assertTrue(ended().single() is JobOutcome.Complete)
    }

    @Test
    fun `given an accepted job, when its operation is closed, then it starts and new jobs are refused as not run`() {
        applyService { }
        connect(credits = 0)
        submit("a", tasks = 1)
        apply {
            service(service.value)
            closedOperation(service.value, "reserve")
        }
        val refusal = refusal(submit("b", tasks = 1))
        assertEquals(
            Verdict.NotRun(Reason.OPERATION_CLOSED, "Team 'haddad' has closed operation 'reserve'.", 30_000),
            refusal,
        )
        home.creditsGranted(agent, 1)
        assertEquals(
            "a",
            starts()
                .single()
                .attempt.task.job.value,
        )
    }

    @Test
    fun `given applied settings, when a lower revision arrives, then it is ignored`() {
        applyService { }
        val older = StoredTeamSettings(revision - 1, teamSettings("haddad") { })
        home.applySettings(older)
        connect(credits = 0)
        assertTrue(submit("a", tasks = 1) is Submission.Waiting)
    }

    private fun applyService(build: ServiceSettingsBuilder.() -> Unit) = apply { service("beatday-booking", build) }

    private fun apply(build: TeamSettingsBuilder.() -> Unit) {
        revision++
        home.applySettings(StoredTeamSettings(revision, teamSettings("haddad", build)))
    }

    private fun connect(credits: Int) {
        val upstream = UpstreamAnnouncement(service, slots = 8, connections = 64, address = "http://127.0.0.1:1")
        home.agentConnected(agent, AgentView(agent, FailureDomain("marka"), upstream), 0)
        home.creditsGranted(agent, credits)
    }

    private fun submit(
        id: String,
        tasks: Int,
    ): Submission {
        val task = TaskSpecification(OperationName("reserve"), idempotent = false, payload = "{}")
        val job =
            Job(
                id = JobId(id),
                team = teamSettings("haddad") { }.team,
                service = service,
                createdAtMillis = 0,
                deadlineMillis = 10_000,
                tasks = List(tasks) { task },
            )
        return home.submit(job, remainingMillis = 10_000, nowMillis = 0)
    }

    private fun refusal(submission: Submission): Verdict =
        ((submission as Submission.Ended).outcome as JobOutcome.WithoutAnswer).verdict

    private fun finish(
        job: String,
        index: Int,
    ) = home.taskFinished(
        agent,
        TaskId(JobId(job), index),
        TaskOutcome.Succeeded("{}"),
        runMillis = 5,
        nowMillis = 1,
    )

    private fun starts(): List<HomeEffect.StartTask> = home.takeEffects(1).filterIsInstance<HomeEffect.StartTask>()

    private fun ended(): List<JobOutcome> =
        home.takeEffects(1).filterIsInstance<HomeEffect.JobEnded>().map { it.outcome }
}
