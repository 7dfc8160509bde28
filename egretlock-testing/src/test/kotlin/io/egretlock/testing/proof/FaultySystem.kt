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
import io.egretlock.testing.upstream.UpstreamTraits
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** What a fault strikes. */
enum class Victim { ENTRY, AGENT, UPSTREAM }

/** How far the jobs are when a fault strikes. */
enum class Moment { AT_REST, QUEUED, STARTED, UNACKNOWLEDGED }

/**
 * Two entries and two agents, each behind a faulty link or with an upstream in a process of its own, and what every
 * test of a fault does with them.
 */
internal class FaultySystem : AutoCloseable {
    private val submitted = mutableListOf<SubmittedJob>()
    private val replies = mutableListOf<CompletableFuture<JobReply>>()
    private val reported = mutableSetOf<Violation>()

    val system =
        startSystem {
            faultyLinks = true
            failureDomain("etna-nord") {
                entry("entry-1")
                agentWithUpstreamProcess("agent-1", UpstreamTraits(SERVICE, SLOTS))
            }
            failureDomain("nebrodi") {
                entry("entry-2")
                agentWithUpstreamProcess("agent-2", UpstreamTraits(SERVICE, SLOTS))
            }
            team(TEAM, SERVICE)
        }

    val entry: EntryNode = system.entries.first()
    val otherEntry: EntryNode = system.entries.last()
    val agent: AgentNode = system.agents.first()

    private val upstream = agent.upstream as ProcessUpstream

    /**
     * Forgets earlier jobs, submits new ones and waits until they are as far as [moment] says. [prepare] runs once the
     * system serves, before the new jobs.
     */
    fun bringTo(
        moment: Moment,
        prepare: () -> Unit = {},
    ) {
        submitted.clear()
        replies.clear()
        awaitSettled()
        prepare()
        when (moment) {
            Moment.AT_REST -> Unit
            Moment.QUEUED -> submitAll(jobs = 6, tasks = SLOTS, runMillis = 700)
            Moment.STARTED -> submitAll(jobs = 4, tasks = 2, runMillis = 700)
            Moment.UNACKNOWLEDGED -> submitAll(jobs = 4, tasks = 2, runMillis = 300)
        }
        if (moment != Moment.AT_REST) awaitAllSlotsTaken()
        if (moment == Moment.UNACKNOWLEDGED) {
            system.entries.forEach { it.link?.silence() }
            Thread.sleep(FINISH_MILLIS)
        }
    }

    /** The process that [victim] stands for. */
    fun processOf(victim: Victim): ManagedProcess =
        when (victim) {
            Victim.ENTRY -> entry.process
            Victim.AGENT -> agent.process
            Victim.UPSTREAM -> upstream.process
        }

    /** Starts [victim] again after it was killed. */
    fun startAgain(victim: Victim) {
        when (victim) {
            Victim.ENTRY -> entry.start()
            Victim.AGENT -> agent.start()
            Victim.UPSTREAM -> upstream.start()
        }
    }

    /** Submits every job so far again at [at]. */
    fun resubmit(at: EntryNode) {
        submitted.forEach { replies += system.submit(at, it.id, it.job) }
    }

    /** Submits new jobs, in turn to both entries. */
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

    /** Waits for every reply and compares all of them with all starts; then nothing may have been promised falsely. */
    fun assertPromisesKept() {
        replies.forEach { it.get(DEADLINE_MILLIS + REPLY_MILLIS, TimeUnit.MILLISECONDS) }
        val violations = system.violations() - reported
        reported += violations
        assertEquals(emptyList<Violation>(), violations)
    }

    /** Waits until both entries answer new jobs completely. */
    fun assertServes() {
        system.awaitConnected()
        system.entries.forEach { target ->
            val given = mutableListOf<JobReply>()
            val until = System.currentTimeMillis() + SERVE_MILLIS
            do {
                given += system.submit(target, Jobs.id(), Jobs.job(tasks = 2, runMillis = 5, DEADLINE_MILLIS)).join()
            } while (given.last() !is JobReply.Complete && System.currentTimeMillis() < until)
            assertTrue(
                given.last() is JobReply.Complete,
            ) { "${target.name} does not serve; last reply: ${given.last()}" }
        }
    }

    /**
     * Waits until no new job is refused, as half of them are while a lost entry is home to them. There are so many probes
     * that they do not all miss the lost entry by chance.
     */
    private fun awaitSettled() =
        Await.until("no new job is refused") {
            val probe = Jobs.job(tasks = 1, runMillis = 1)
            val probes = List(PROBES) { number -> system.submit(system.entries[number % 2], Jobs.id(), probe) }
            probes.map { it.join() }.all { it is JobReply.Complete }
        }

    /** Names the replies that came instead, since a refused job starts nothing. */
    private fun awaitAllSlotsTaken() {
        try {
            Await.until("all slots are taken", timeoutMillis = SERVE_MILLIS) { startsOfSubmitted() >= 2 * SLOTS }
        } catch (timeout: IllegalStateException) {
            val given = replies.filter { it.isDone }.map { it.join() }
            throw AssertionError("${startsOfSubmitted()} starts; replies so far: $given", timeout)
        }
    }

    override fun close() = system.close()

    private fun startsOfSubmitted(): Int {
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
