package io.egretlock.testing.settings

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.proof.Jobs
import io.egretlock.testing.proof.SERVICE
import io.egretlock.testing.proof.TEAM
import io.egretlock.testing.proof.sharedSmallSystem
import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.system.TestSystem
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Settings, dispatch and store calls of real processes while the store is down, slow or stale, and afterwards. */
class SettingsOutageTest {
    private val client = SettingsClient(TEAM)
    private val first = system.entries.first()
    private val processes =
        system.entries.map { it.operatorsAddress } + system.agents.map { it.operatorsAddress }

    @AfterEach
    fun resetFaults() {
        system.store.faults = StoreFaults()
        val replies = mutableListOf<SettingsReply>()
        try {
            Await.until("edits are accepted again") { edit(concurrency = 100).also { replies += it }.status == 200 }
        } catch (failure: IllegalStateException) {
            throw AssertionError("Replies: ${replies.takeLast(SHOWN_REPLIES)}\n${first.process.logText()}", failure)
        }
    }

    @ParameterizedTest
    @EnumSource(names = ["REFUSING", "HANGING"])
    fun `given a store outage, when jobs and edits come, then jobs are served and edits are refused clearly`(
        availability: StoreAvailability,
    ) {
        val before = client.get(first.operatorsAddress).entityTag
        system.store.faults = StoreFaults(availability = availability)
        val reply = edit(concurrency = 40)
        val jobs = List(JOBS) { system.submit(first, Jobs.id(), Jobs.job(tasks = 2)) }.map { it.join() }
        assertEquals(503, reply.status)
        assertEquals("no", reply.text("stored"))
        assertEquals("2", reply.retryAfter)
        assertTrue(jobs.all { it is JobReply.Complete }) { "$jobs" }
        assertEquals(before, client.get(first.operatorsAddress).entityTag)
    }

    @Test
    fun `given an outage, when an entry and an agent start anew, then they take the settings that others hold`() {
        val revision = checkNotNull(edit(concurrency = 90).revision)
        awaitInForce(revision)
        system.store.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        val entry = system.entries.last()
        val agent = system.agents.last()
        listOf(entry.process, agent.process).forEach { process ->
            process.signal(ProcessSignal.KILL)
            process.awaitExit()
        }
        entry.start()
        agent.start()
        awaitInForce(revision)
    }

    @Test
    fun `given reads from an older state, when time passes, then no revision goes down and edits are refused`() {
        val revision = checkNotNull(edit(concurrency = 80).revision)
        awaitInForce(revision)
        system.store.faults = StoreFaults(readRevision = revision - 1)
        Await.until("the older state is noticed") { "1205" in first.process.logText() }
        val reply = edit(concurrency = 81)
        assertEquals(listOf(503, "no"), listOf(reply.status, reply.text("stored")))
        assertTrue(processes.all { checkNotNull(client.revisionInForce(it)) >= revision })
    }

    @Test
    fun `given a slow store, when edited, then the edit is accepted and in force everywhere`() {
        system.store.faults = StoreFaults(delayMillis = SLOW_MILLIS)
        val reply = edit(concurrency = 60)
        assertEquals(200, reply.status) { reply.body }
        awaitInForce(checkNotNull(reply.revision))
    }

    @Test
    fun `given an outage, when the store returns, then calls are at most double the steady rate`() {
        val steady = callsWithinWindow()
        system.store.faults = StoreFaults(availability = StoreAvailability.HANGING)
        Thread.sleep(OUTAGE_MILLIS)
        system.store.faults = StoreFaults()
        val afterRecovery = callsWithinWindow()
        assertTrue(afterRecovery <= 2 * steady) { "$afterRecovery calls after recovery, $steady in the steady state" }
    }

    @Test
    fun `given a paused entry, when settings change meanwhile, then it takes them once it runs again`() {
        val paused = system.entries.last()
        paused.process.signal(ProcessSignal.STOP)
        val revision = checkNotNull(edit(concurrency = 70).revision)
        Thread.sleep(PAUSE_MILLIS)
        paused.process.signal(ProcessSignal.CONT)
        awaitInForce(revision)
    }

    private fun callsWithinWindow(): Long {
        val before = system.store.calls.total
        Thread.sleep(WINDOW_MILLIS)
        return system.store.calls.total - before
    }

    private fun edit(concurrency: Int): SettingsReply {
        val body = """{"team":"$TEAM","services":[{"name":"$SERVICE","concurrency":$concurrency}]}"""
        return client.put(first.operatorsAddress, client.get(first.operatorsAddress).entityTag, body)
    }

    private fun awaitInForce(revision: Long) =
        Await.until("revision $revision is in force", timeoutMillis = IN_FORCE_MILLIS) {
            processes.all { (client.revisionInForce(it) ?: 0) >= revision }
        }

    private companion object {
        const val IN_FORCE_MILLIS = 6_000L
        const val SLOW_MILLIS = 500L
        const val JOBS = 10
        const val SHOWN_REPLIES = 3
        const val PAUSE_MILLIS = 3_000L
        const val OUTAGE_MILLIS = 4_000L
        const val WINDOW_MILLIS = 10_000L

        @JvmField
        @RegisterExtension
        val shared = sharedSmallSystem()

        val system: TestSystem
            get() = shared.value
    }
}
