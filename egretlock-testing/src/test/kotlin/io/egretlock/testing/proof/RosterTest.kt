package io.egretlock.testing.proof

import io.egretlock.testing.audit.Violation
import io.egretlock.testing.client.JobReply
import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.EntryNode
import io.egretlock.testing.system.LoadGenerator
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Entries agree on the home of each job while entries start and stop and the store fails. */
class RosterTest {
    private lateinit var system: TestSystem

    private val first: EntryNode
        get() = system.entries.first()

    private val last: EntryNode
        get() = system.entries.last()

    @BeforeEach
    fun start() {
        system = startSystem { smallSystem() }
        awaitJobsComplete()
    }

    @AfterEach
    fun stop() = system.close()

    @ParameterizedTest
    @EnumSource(StoreAvailability::class, names = ["REFUSING", "HANGING"])
    fun `given a store that has long been down, when jobs are submitted, then they are complete`(
        availability: StoreAvailability,
    ) {
        system.store.faults = StoreFaults(availability)
        repeat(OUTAGE_ROUNDS) {
            Thread.sleep(ROUND_MILLIS)
            val replies = submitEverywhere()
            assertTrue(replies.all { it is JobReply.Complete }) { "round $it: $replies" }
        }
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given a killed entry, when it has been removed from the roster, then all new jobs are complete`() {
        first.process.signal(ProcessSignal.KILL)
        awaitJobsComplete(listOf(last))
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given all entries killed at once, when they are started again, then all new jobs are complete`() {
        system.entries.forEach { it.process.signal(ProcessSignal.KILL) }
        system.entries.forEach { it.process.awaitExit() }
        system.entries.forEach { it.start() }
        system.awaitConnected()
        awaitJobsComplete()
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given an entry paused until it is removed, when its jobs are resubmitted, then none starts twice`() {
        val jobs = List(JOBS) { Jobs.id() to Jobs.job(tasks = 2, runMillis = 300) }
        val running = jobs.map { (id, job) -> system.submit(first, id, job) }
        first.process.signal(ProcessSignal.STOP)
        awaitJobsComplete(listOf(last))
        val elsewhere = jobs.map { (id, job) -> system.submit(last, id, job) }.map { it.join() }
        first.process.signal(ProcessSignal.CONT)
        running.forEach { it.join() }
        awaitJobsComplete()
        jobs.map { (id, job) -> system.submit(first, id, job) }.forEach { it.join() }
        assertEquals(JOBS, elsewhere.size)
        assertEquals(emptyList<Violation>(), system.violations())
    }

    @Test
    fun `given load, when an entry is killed and replaced under a new name, then all guarantees hold`() {
        val load = LoadGenerator(system, LOAD_INTERVAL_MILLIS, Jobs::id, Jobs.job(tasks = 2, runMillis = 60)).start()
        load.use {
            Thread.sleep(ROUND_MILLIS)
            system.killAndReplace(first, "entry-3")
            system.awaitConnected()
            awaitJobsComplete()
        }
        val replies = load.finish()
        assertTrue(replies.any { it is JobReply.Complete })
        assertEquals(emptyList<Violation>(), system.violations())
    }

    private fun awaitJobsComplete(entries: List<EntryNode> = system.entries) =
        Await.until("new jobs are complete") {
            entries.flatMap(::submitAt).map { it.join() }.all { it is JobReply.Complete }
        }

    private fun submitEverywhere(): List<JobReply> = system.entries.flatMap(::submitAt).map { it.join() }

    private fun submitAt(entry: EntryNode) =
        List(JOBS_PER_ENTRY) { system.submit(entry, Jobs.id(), Jobs.job(tasks = 1)) }

    private companion object {
        const val JOBS = 8
        const val LOAD_INTERVAL_MILLIS = 25L
        const val JOBS_PER_ENTRY = 40
        const val OUTAGE_ROUNDS = 4
        const val ROUND_MILLIS = 2_000L
    }
}
