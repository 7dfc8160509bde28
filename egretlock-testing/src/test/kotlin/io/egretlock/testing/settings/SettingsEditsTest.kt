package io.egretlock.testing.settings

import io.egretlock.testing.proof.SERVICE
import io.egretlock.testing.proof.TEAM
import io.egretlock.testing.proof.smallSystem
import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.Await
import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.system.TestSystem
import io.egretlock.testing.system.startSystem
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test

/**
 * Concurrent edits by several operators while processes are killed and the store fails. System properties:
 * `egretlock.settings.edits` is the number of accepted edits, `egretlock.settings.outage` the duration of each outage
 * in milliseconds, and `egretlock.settings.seed` the seed.
 */
class SettingsEditsTest {
    private val client = SettingsClient(TEAM)
    private val wantedEdits = Integer.getInteger("egretlock.settings.edits", SHORT_RUN_EDITS)
    private val seed = Integer.getInteger("egretlock.settings.seed", 1)
    private val outageMillis = Integer.getInteger("egretlock.settings.outage", SHORT_OUTAGE_MILLIS).toLong()
    private val outages = mutableListOf<StoreOutage>()
    private lateinit var system: TestSystem

    @BeforeEach
    fun start() {
        system = startSystem { smallSystem() }
    }

    @AfterEach
    fun stop() = system.close()

    @Test
    fun `given racing operators, restarts and outages, when settings are edited, then all apply and none reverts`() {
        val recorder = RevisionRecorder(client, observed(), ::nowMillis)
        val operators = RacingOperators(client, system.entries.map { it.operatorsAddress }, ::body, seed, ::nowMillis)
        injectFaults(StoreFaults(availability = StoreAvailability.REFUSING))
        restartEntry()
        injectFaults(StoreFaults(availability = StoreAvailability.HANGING)) { restartAgent() }
        restartAgent()
        injectFaults(StoreFaults(delayMillis = SLOW_MILLIS, lostAnswers = LOST_ANSWERS)) { restartEntry() }
        Await.until("$wantedEdits edits are accepted", timeoutMillis = LONGEST_RUN_MILLIS) {
            operators.accepted.size >= wantedEdits
        }
        operators.close()
        awaitLastEdit()
        recorder.close()
        assertAllInForce(operators, recorder)
    }

    private fun assertAllInForce(
        operators: RacingOperators,
        recorder: RevisionRecorder,
    ) {
        val accepted = operators.accepted
        val audit = PropagationAudit(recorder.samples, accepted, outages, IN_FORCE_MILLIS)
        println(
            "seed $seed: ${accepted.size} edits accepted, replies by status ${operators.replies}, " +
                "${recorder.samples.size} samples, longest ${audit.longestDelayMillis()} ms until in force",
        )
        assertEquals(PROCESS_COUNT, recorder.samples.distinctBy { it.pid }.size)
        assertEquals(emptyList<String>(), audit.faults())
        assertEquals(accepted.size, accepted.distinctBy { it.revision }.size)
        assertTrue(system.store.history.revision >= accepted.maxOf { it.revision })
    }

    private fun injectFaults(
        faults: StoreFaults,
        during: () -> Unit = { },
    ) {
        val from = nowMillis()
        system.store.faults = faults
        during()
        Thread.sleep(outageMillis)
        system.store.faults = StoreFaults()
        outages += StoreOutage(from, nowMillis())
        Thread.sleep(OUTAGE_INTERVAL_MILLIS)
    }

    private fun restartEntry() {
        val entry = system.entries.last()
        kill(entry.process)
        entry.start()
        Await.until("${entry.name} answers", entry.process) { client.revisionInForce(entry.operatorsAddress) != null }
    }

    private fun restartAgent() {
        val agent = system.agents.first()
        kill(agent.process)
        agent.start()
        Await.until("${agent.name} answers", agent.process) { client.revisionInForce(agent.operatorsAddress) != null }
    }

    private fun kill(process: ManagedProcess) {
        process.signal(ProcessSignal.KILL)
        process.awaitExit()
    }

    private fun awaitLastEdit() {
        val last =
            system.store.history
                .read(KEY, until = null)
                .single()
                .revision
        Await.until("revision $last is in force everywhere") {
            observed().all { client.revisionInForce(it.address) == last }
        }
    }

    private fun observed(): List<ObservedProcess> =
        system.entries.map { ObservedProcess(it.name, it.operatorsAddress) { it.process.pid } } +
            system.agents.map { ObservedProcess(it.name, it.operatorsAddress) { it.process.pid } }

    private fun body(number: Int): String =
        """{"team":"$TEAM","services":[{"name":"$SERVICE","concurrency":${number + 1}}]}"""

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val KEY = "/egretlock/settings/$TEAM"
        const val SHORT_RUN_EDITS = 40

        /** Four processes and four restarts. */
        const val PROCESS_COUNT = 8
        const val IN_FORCE_MILLIS = 6_000L
        const val LONGEST_RUN_MILLIS = 900_000L
        const val SHORT_OUTAGE_MILLIS = 2_000
        const val OUTAGE_INTERVAL_MILLIS = 2_000L
        const val SLOW_MILLIS = 500L
        const val LOST_ANSWERS = 5
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
