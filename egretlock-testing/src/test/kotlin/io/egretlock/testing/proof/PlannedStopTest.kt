package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.client.PersistentConnection
import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.system.SystemTiming
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Requests during a planned stop: each is answered, or refused as not run. */
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
    fun `given an idle connection, when used long after its entry was told to stop, then the request is answered`() {
        val entry = system.entries.first()
        PersistentConnection(entry.callersAddress).use { connection ->
            connection.request()
            entry.process.signal(ProcessSignal.TERM)
            system.awaitUnready(entry)
            Thread.sleep(SystemTiming().noticeMillis * 3)
            assertEquals("close", connection.request()["connection"])
            assertEquals(0, entry.process.awaitExit())
        }
    }

    @Test
    fun `given a request taken before the stop, when answered after it, then the answer closes the connection`() {
        val entry = system.entries.first()
        PersistentConnection(entry.callersAddress).use { connection ->
            connection.send("PUT", "/v1/jobs/${Jobs.id()}", Json.encodeToString(Jobs.job(tasks = 1, runMillis = 900)))
            Await.until("the task is started") { system.starts.size == 1 }
            entry.process.signal(ProcessSignal.TERM)
            assertEquals("close", connection.receive()["connection"])
        }
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
        assertNoRequestCut {
            system.agents.forEach { agent ->
                agent.process.signal(ProcessSignal.TERM)
                assertEquals(0, agent.process.awaitExit())
                agent.start()
                system.awaitConnected()
            }
        }

    @Test
    fun `given load, when every entry is replaced in turn, then no request is cut`() =
        assertNoRequestCut {
            system.entries.forEach { entry ->
                entry.process.signal(ProcessSignal.TERM)
                assertEquals(0, entry.process.awaitExit())
                entry.start()
                system.awaitConnected()
            }
        }

    @Test
    fun `given load, when an upstream leaves, then no task starts there more than 3 s later`() =
        assertNoRequestCut {
            system.assertNoStartAfterLeave(system.agents.first())
        }

    @ParameterizedTest(name = "store {0}")
    @EnumSource(names = ["UP", "REFUSING"])
    fun `given a killed entry still in the roster, when an agent with its answers is told to stop, then it ends with 0`(
        availability: StoreAvailability,
    ) {
        val agent = system.agents.first()
        val running = List(6) { system.submit(system.entries.first(), Jobs.id(), Jobs.job(tasks = 2, runMillis = 600)) }
        Await.until("all tasks are started") { system.starts.size == 12 }
        system.store.faults = StoreFaults(availability)
        system.entries
            .first()
            .process
            .signal(ProcessSignal.KILL)
        agent.process.signal(ProcessSignal.TERM)
        assertEquals(0, agent.process.awaitExit(SystemTiming().drainMillis + EXIT_MARGIN_MILLIS))
        running.forEach { it.join() }
        assertEquals(emptyList<Violation>(), system.violations())
    }

    private fun assertNoRequestCut(change: () -> Unit) = system.assertNoRequestCut(change)

    private companion object {
        const val EXIT_MARGIN_MILLIS = 5_000L
    }
}
