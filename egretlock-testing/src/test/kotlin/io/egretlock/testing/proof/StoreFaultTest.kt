package io.egretlock.testing.proof

import io.egretlock.testing.store.StoreAvailability
import io.egretlock.testing.store.StoreFaults
import io.egretlock.testing.system.ProcessSignal
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension

/** Jobs are served while the store is down or slow, also across a restart. */
class StoreFaultTest {
    @AfterEach
    fun heal() {
        faulty.system.store.faults = StoreFaults()
    }

    @Test
    fun `given a store that hangs, when an agent is killed and started again, then jobs are served`() {
        faulty.bringTo(Moment.STARTED)
        faulty.system.store.faults = StoreFaults(StoreAvailability.HANGING)
        faulty.agent.process.signal(ProcessSignal.KILL)
        faulty.agent.process.awaitExit()
        faulty.agent.start()
        Thread.sleep(OUTAGE_MILLIS)
        faulty.assertServes()
        faulty.assertPromisesKept()
    }

    @Test
    fun `given a slow store, when an entry is killed and started again, then every promise is kept`() {
        faulty.bringTo(Moment.STARTED)
        faulty.system.store.faults = StoreFaults(delayMillis = SLOW_MILLIS)
        faulty.entry.process.signal(ProcessSignal.KILL)
        faulty.entry.process.awaitExit()
        faulty.resubmit(faulty.otherEntry)
        faulty.entry.start()
        faulty.assertServes()
        faulty.assertPromisesKept()
    }

    @Test
    fun `given a store that is down, when it comes back, then every promise is kept and jobs are served throughout`() {
        faulty.bringTo(Moment.QUEUED)
        faulty.system.store.faults = StoreFaults(StoreAvailability.REFUSING)
        Thread.sleep(OUTAGE_MILLIS)
        faulty.assertServes()
        faulty.system.store.faults = StoreFaults()
        faulty.assertServes()
        faulty.assertPromisesKept()
    }

    private companion object {
        const val OUTAGE_MILLIS = 4_000L
        const val SLOW_MILLIS = 400L

        @JvmField
        @RegisterExtension
        val shared = SharedFixture(::FaultySystem)

        val faulty: FaultySystem
            get() = shared.value
    }
}
