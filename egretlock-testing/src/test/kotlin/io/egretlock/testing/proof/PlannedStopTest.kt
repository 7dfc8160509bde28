package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.ProblemVerdict
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.Load
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/** No planned stop cuts a request: each is answered, or refused as not run. */
class PlannedStopTest {
    private lateinit var system: TestSystem

    @BeforeEach
    fun start() {
        system = startSystem { smallSystem() }
    }

    @AfterEach
    fun stop() = system.close()

    @Test
    fun `given jobs in flight, when an entry is told to stop, then it answers them and ends with 0`() {
        val running = List(6) { system.submit(system.entries.first(), Jobs.id(), Jobs.job(tasks = 2, runMillis = 600)) }
        Await.until("all tasks are started") { system.starts.size == 12 }
        system.entries
            .first()
            .process
            .signal(ProcessSignal.TERM)
        assertTrue(running.map { it.join() }.all { it is JobReply.Complete }) { "${running.map { it.join() }}" }
        assertEquals(
            0,
            system.entries
                .first()
                .process
                .awaitExit(),
        )
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given jobs in flight, when resubmitted at an entry that was told to stop, then they get their answers`() {
        val jobs = List(6) { Jobs.id() to Jobs.job(tasks = 2, runMillis = 900) }
        val running = jobs.map { (id, job) -> system.submit(system.entries.first(), id, job) }
        Await.until("all tasks are started") { system.starts.size == 12 }
        system.entries
            .first()
            .process
            .signal(ProcessSignal.TERM)
        system.awaitUnready(system.entries.first())
        val again = jobs.map { (id, job) -> system.submit(system.entries.first(), id, job) }
        assertEquals(running.map { it.join() }, again.map { it.join() })
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given tasks in flight, when an agent is told to stop, then it answers them and ends with 0`() {
        val running = List(6) { system.submit(system.entries.first(), Jobs.id(), Jobs.job(tasks = 2, runMillis = 600)) }
        Await.until("all tasks are started") { system.starts.size == 12 }
        system.agents
            .first()
            .process
            .signal(ProcessSignal.TERM)
        assertTrue(running.map { it.join() }.all { it is JobReply.Complete }) { "${running.map { it.join() }}" }
        assertEquals(
            0,
            system.agents
                .first()
                .process
                .awaitExit(),
        )
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given load, when every agent is replaced in turn, then no request is cut`() =
        assertNothingCut {
            system.agents.forEach { agent ->
                agent.process.signal(ProcessSignal.TERM)
                assertEquals(0, agent.process.awaitExit())
                agent.start()
                system.awaitConnected()
            }
        }

    @Test
    fun `given load, when every entry is replaced in turn, then no request is cut`() =
        assertNothingCut {
            system.entries.forEach { entry ->
                entry.process.signal(ProcessSignal.TERM)
                assertEquals(0, entry.process.awaitExit())
                entry.start()
                system.awaitConnected()
            }
        }

    @Test
    fun `given load, when an upstream leaves, then it gets no start later than 3 s after`() =
        assertNothingCut {
            val upstream = system.agents.first().upstream
            upstream.leave()
            val leftAtMillis = System.currentTimeMillis()
            Await.until("the other upstream is used 4 s later") {
                system.agents
                    .last()
                    .upstream.starts
                    .any { it.startedAtMillis > leftAtMillis + 4_000 }
            }
            assertEquals(
                emptyList<String>(),
                upstream.starts.filter { it.startedAtMillis > leftAtMillis + 3_000 }.map { it.task },
            )
        }

    private fun assertNothingCut(change: () -> Unit) {
        val load =
            Load(
                system,
                intervalMillis = 25,
                newId = Jobs::id,
                job = Jobs.job(tasks = 3, runMillis = 60),
            ).start()
        load.use { change() }
        val replies = load.finish()
        assertEquals(emptyList<JobReply>(), replies.filter(::cut))
        assertTrue(
            replies.count { it is JobReply.Complete } * 2 > replies.size,
        ) { "Most of ${replies.size} were refused." }
        assertEquals(emptyList<Violation>(), system.violations())
    }

    private fun cut(reply: JobReply): Boolean =
        when (reply) {
            is JobReply.Complete, is JobReply.Unreachable -> false
            is JobReply.Lost -> true
            is JobReply.Refused -> reply.problem.verdict != ProblemVerdict.NOT_RUN
        }
}
