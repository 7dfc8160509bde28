package io.egretlock.testing.proof

import io.egretlock.testing.system.ProcessSignal
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.MethodSource

/** Kills and pauses each kind of process at each moment of a job, with resubmissions through the other entry. */
class ProcessFaultTest {
    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("cases")
    fun `given jobs in flight, when a process is killed, then every promise is kept`(
        victim: Victim,
        moment: Moment,
    ) {
        faulty.bringTo(moment)
        faulty.processOf(victim).signal(ProcessSignal.KILL)
        faulty.processOf(victim).awaitExit()
        faulty.resubmit(faulty.otherEntry)
        faulty.submitAll(jobs = 2, tasks = 2, runMillis = 50)
        faulty.startAgain(victim)
        faulty.assertServes()
        faulty.resubmit(faulty.entry)
        faulty.assertPromisesKept()
    }

    @ParameterizedTest(name = "{0} {1}")
    @MethodSource("cases")
    fun `given jobs in flight, when a process is paused and goes on, then every promise is kept`(
        victim: Victim,
        moment: Moment,
    ) {
        faulty.bringTo(moment)
        faulty.processOf(victim).signal(ProcessSignal.STOP)
        faulty.resubmit(faulty.otherEntry)
        faulty.submitAll(jobs = 2, tasks = 2, runMillis = 50)
        Thread.sleep(PAUSE_MILLIS)
        faulty.processOf(victim).signal(ProcessSignal.CONT)
        faulty.assertServes()
        faulty.resubmit(faulty.entry)
        faulty.assertPromisesKept()
    }

    companion object {
        private const val PAUSE_MILLIS = 1_800L
        private lateinit var faulty: FaultySystem

        @JvmStatic
        fun cases(): List<Arguments> =
            Victim.entries.flatMap { victim -> Moment.entries.map { moment -> Arguments.of(victim, moment) } }

        @JvmStatic
        @BeforeAll
        fun start() {
            faulty = FaultySystem()
        }

        @JvmStatic
        @AfterAll
        fun stop() = faulty.close()
    }
}
