package io.egretlock.bench.micro

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.placement.AdmitAll
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.Dispatcher
import io.egretlock.core.placement.Placement
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import org.openjdk.jmh.annotations.Benchmark
import org.openjdk.jmh.annotations.BenchmarkMode
import org.openjdk.jmh.annotations.Level
import org.openjdk.jmh.annotations.Mode
import org.openjdk.jmh.annotations.OutputTimeUnit
import org.openjdk.jmh.annotations.Param
import org.openjdk.jmh.annotations.Scope
import org.openjdk.jmh.annotations.Setup
import org.openjdk.jmh.annotations.State
import java.util.concurrent.TimeUnit

/** Measures the dispatcher calls for one task, with all slots in use and a constant number of queued jobs. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.NANOSECONDS)
open class DispatcherBenchmark {
    /** Number of agents, with [SLOTS] slots each, in as many failure domains as are planned for the system. */
    @Param("11", "110", "1100", "3500")
    var workers: Int = 0

    /** Number of teams, which submit jobs in round-robin order. */
    @Param("1", "97")
    var teams: Int = 0

    /** Number of queued jobs, with one task each. */
    @Param("100", "10000")
    var jobs: Int = 0

    private val service = ServiceName("bench")
    private val running = ArrayDeque<Placement>()
    private lateinit var dispatcher: Dispatcher
    private lateinit var teamNames: List<TeamName>
    private var submitted = 0L

    /** Fills all slots and the queue. */
    @Setup(Level.Iteration)
    fun fill() {
        running.clear()
        submitted = 0
        teamNames = List(teams) { TeamName("team-$it") }
        dispatcher = fairDispatcher(service) { admission = AdmitAll() }
        teamNames.forEach { dispatcher.applySettings(settings(it)) }
        repeat(workers) { addAgent(it) }
        repeat(workers * SLOTS + jobs) { submit() }
        running += dispatcher.placements(0)
    }

    /** One task from end to next start: a task ends and frees its slot, a job arrives, and the next task is placed. */
    @Benchmark
    fun taskLife(): Int {
        val ended = running.removeFirst()
        dispatcher.taskEnded(ended.task, ended.agent, RUN_MILLIS, succeeded = true, nowMillis = 0)
        dispatcher.creditsGranted(ended.agent, 1)
        submit()
        running += dispatcher.placements(0)
        return running.size
    }

    private fun submit() {
        val number = submitted++
        dispatcher.submit(job(number), deadlineAtMillis = DEADLINE_MILLIS, nowMillis = 0)
    }

    private fun job(number: Long) =
        Job(
            id = JobId("job-$number"),
            team = teamNames[(number % teams).toInt()],
            service = service,
            createdAtMillis = 0,
            deadlineMillis = DEADLINE_MILLIS,
            tasks = listOf(TASK),
        )

    private fun settings(team: TeamName): StoredTeamSettings {
        val limits = ServiceSettings(service, concurrency = UNLIMITED, longestQueue = UNLIMITED)
        return StoredTeamSettings(1, TeamSettings(team, services = listOf(limits)))
    }

    private fun addAgent(number: Int) {
        val agent = ProcessId("agent-$number", 1)
        val upstream = UpstreamAnnouncement(service, SLOTS, CONNECTIONS, "127.0.0.1:1")
        dispatcher.agentChanged(AgentView(agent, FailureDomain("domain-${number % DOMAINS}"), upstream))
        dispatcher.creditsGranted(agent, SLOTS)
    }

    private companion object {
        const val SLOTS = 8
        const val CONNECTIONS = 64
        const val DOMAINS = 22
        const val UNLIMITED = 10_000_000
        const val RUN_MILLIS = 100L
        const val DEADLINE_MILLIS = 600_000L
        val TASK = TaskSpecification(OperationName("check"), idempotent = true, payload = "{}")
    }
}
