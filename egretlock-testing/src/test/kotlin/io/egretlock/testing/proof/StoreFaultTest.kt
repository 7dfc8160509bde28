package io.egretlock.testing.proof

import io.egretlock.testing.client.JobReply
import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.LoadGenerator
import io.egretlock.testing.system.ProcessSignal
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension

/** Jobs are served while the store is down or slow, also after a process restarts. */
class StoreFaultTest {
    @AfterEach
    fun resetFaults() {
        faulty.system.store.faults = StoreFaults()
    }

    @Test
    fun `given a store that hangs, when an agent is killed and started again, then jobs are served`() {
        faulty.advanceTo(JobStage.STARTED)
        faulty.system.store.faults = StoreFaults(StoreAvailability.HANGING)
        faulty.agent.process.signal(ProcessSignal.KILL)
        faulty.agent.process.awaitExit()
        faulty.agent.start()
        Thread.sleep(OUTAGE_MILLIS)
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    @Test
    fun `given a slow store, when an entry is killed and started again, then all guarantees hold`() {
        faulty.advanceTo(JobStage.STARTED)
        faulty.system.store.faults = StoreFaults(delayMillis = SLOW_MILLIS)
        faulty.entry.process.signal(ProcessSignal.KILL)
        faulty.entry.process.awaitExit()
        faulty.resubmit(faulty.otherEntry)
        faulty.entry.start()
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    @Test
    fun `given a store that is down, when it comes back, then all guarantees hold and jobs are served throughout`() {
        faulty.advanceTo(JobStage.QUEUED)
        faulty.system.store.faults = StoreFaults(StoreAvailability.REFUSING)
        Thread.sleep(OUTAGE_MILLIS)
        faulty.assertServing()
        faulty.system.store.faults = StoreFaults()
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    @Test
    fun `given a store that is down for 20 s, when jobs are submitted throughout, then each is complete`() {
        faulty.advanceTo(JobStage.IDLE)
        faulty.system.store.faults = StoreFaults(StoreAvailability.HANGING)
        val load =
            LoadGenerator(faulty.system, LOAD_INTERVAL_MILLIS, Jobs::id, Jobs.job(tasks = 2, runMillis = 20)).start()
        load.use { Thread.sleep(LONG_OUTAGE_MILLIS) }
        assertEquals(emptyList<JobReply>(), load.finish().filterNot { it is JobReply.Complete })
        faulty.assertNoViolations()
    }

    private companion object {
        const val LONG_OUTAGE_MILLIS = 20_000L
        const val LOAD_INTERVAL_MILLIS = 100L
        const val OUTAGE_MILLIS = 4_000L
        const val SLOW_MILLIS = 400L

        @JvmField
        @RegisterExtension
        val shared = SharedFixture(::FaultySystem)

        val faulty: FaultySystem
            get() = shared.value
    }
}
