package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.JobRequest
import io.egretlock.testing.system.AgentNode
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.EntryNode
import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.ProcessUpstream
import io.egretlock.testing.system.startSystem
import io.egretlock.testing.upstream.UpstreamStandInOptions
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Kind of process that a fault affects. */
enum class FaultTarget { ENTRY, AGENT, UPSTREAM }

/** Progress of the jobs when a fault begins. */
enum class JobStage { IDLE, QUEUED, STARTED, UNACKNOWLEDGED }

/**
 * System for tests of faults: two entries behind faulty links, and two agents with their upstreams in separate
 * processes.
 */
internal class FaultySystem : AutoCloseable {
    private val submitted = mutableListOf<SubmittedJob>()
    private val replies = mutableListOf<CompletableFuture<JobReply>>()
    private val reported = mutableSetOf<Violation>()

    val system =
        startSystem {
            hasFaultyLinks = true
            failureDomain("etna-nord") {
                entry("entry-1")
                agentWithUpstreamProcess("agent-1", UpstreamStandInOptions(SERVICE, SLOTS))
            }
            failureDomain("nebrodi") {
                entry("entry-2")
                agentWithUpstreamProcess("agent-2", UpstreamStandInOptions(SERVICE, SLOTS))
            }
            team(TEAM, SERVICE)
        }

    val entry: EntryNode = system.entries.first()
    val otherEntry: EntryNode = system.entries.last()
    val agent: AgentNode = system.agents.first()

    private val upstream = agent.upstream as ProcessUpstream

    /**
     * Submits new jobs in place of the earlier ones, and waits until they reach [stage]. [prepare] runs once no new job
     * is refused and before the new jobs are submitted.
     */
    fun advanceTo(
        stage: JobStage,
        prepare: () -> Unit = {},
    ) {
        submitted.clear()
        replies.clear()
        awaitNoRefusals()
        prepare()
        when (stage) {
            JobStage.IDLE -> Unit
            JobStage.QUEUED -> submitAll(jobs = 6, tasks = SLOTS, runMillis = 700)
            JobStage.STARTED -> submitAll(jobs = 4, tasks = 2, runMillis = 700)
            JobStage.UNACKNOWLEDGED -> submitAll(jobs = 4, tasks = 2, runMillis = 300)
        }
        if (stage != JobStage.IDLE) awaitAllSlotsInUse()
        if (stage == JobStage.UNACKNOWLEDGED) {
            system.entries.forEach { it.link?.silence() }
            Thread.sleep(FINISH_MILLIS)
        }
    }

    /** The process of [target]. */
    fun processOf(target: FaultTarget): ManagedProcess =
        when (target) {
            FaultTarget.ENTRY -> entry.process
            FaultTarget.AGENT -> agent.process
            FaultTarget.UPSTREAM -> upstream.process
        }

    /** Restarts [target] after it was killed. */
    fun restart(target: FaultTarget) {
        when (target) {
            FaultTarget.ENTRY -> entry.start()
            FaultTarget.AGENT -> agent.start()
            FaultTarget.UPSTREAM -> upstream.start()
        }
    }

    /** Resubmits all jobs at the entry [at]. */
    fun resubmit(at: EntryNode) {
        submitted.forEach { replies += system.submit(at, it.id, it.job) }
    }

    /** Submits new jobs, alternating between both entries. */
    fun submitAll(
        jobs: Int,
        tasks: Int,
        runMillis: Int,
    ) {
        repeat(jobs) { number ->
            val next = SubmittedJob(Jobs.id(), Jobs.job(tasks, runMillis, DEADLINE_MILLIS))
            submitted += next
            replies += system.submit(system.entries[number % 2], next.id, next.job)
        }
    }

    /** Waits for all replies and checks that replies and starts show no violation that was not reported before. */
    fun assertNoViolations() {
        replies.forEach { it.get(DEADLINE_MILLIS + REPLY_MILLIS, TimeUnit.MILLISECONDS) }
        val violations = system.violations() - reported
        reported += violations
        assertEquals(emptyList<Violation>(), violations)
    }

    /** Checks that both entries complete new jobs within [SERVE_MILLIS]. */
    fun assertServing() {
        system.awaitConnected()
        system.entries.forEach { target ->
            val received = mutableListOf<JobReply>()
            val until = System.currentTimeMillis() + SERVE_MILLIS
            do {
                received += system.submit(target, Jobs.id(), Jobs.job(tasks = 2, runMillis = 5, DEADLINE_MILLIS)).join()
            } while (received.last() !is JobReply.Complete && System.currentTimeMillis() < until)
            assertTrue(
                received.last() is JobReply.Complete,
            ) { "${target.name} does not complete jobs; last reply: ${received.last()}" }
        }
    }

    /**
     * Waits until no new job is refused. While a lost entry is still the home of jobs, about half of them are refused;
     * there are enough probes that it is home to some of them.
     */
    private fun awaitNoRefusals() =
        Await.until("no new job is refused") {
            val probe = Jobs.job(tasks = 1, runMillis = 1)
            val probes = List(PROBES) { number -> system.submit(system.entries[number % 2], Jobs.id(), probe) }
            probes.map { it.join() }.all { it is JobReply.Complete }
        }

    /** Reports the replies so far on a timeout, since a refused job starts no tasks. */
    private fun awaitAllSlotsInUse() {
        try {
            Await.until("all slots are in use", timeoutMillis = SERVE_MILLIS) { startCount() >= 2 * SLOTS }
        } catch (timeout: IllegalStateException) {
            val received = replies.filter { it.isDone }.map { it.join() }
            throw AssertionError("${startCount()} starts; replies so far: $received", timeout)
        }
    }

    override fun close() = system.close()

    private fun startCount(): Int {
        val ids = submitted.map { it.id }.toSet()
        return system.starts.count { it.task.substringBeforeLast(':') in ids }
    }

    private data class SubmittedJob(
        val id: String,
        val job: JobRequest,
    )

    private companion object {
        const val SLOTS = 4
        const val PROBES = 32
        const val DEADLINE_MILLIS = 6_000L
        const val REPLY_MILLIS = 10_000L
        const val SERVE_MILLIS = 10_000L
        const val FINISH_MILLIS = 500L
    }
}
