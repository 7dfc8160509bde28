package io.egretlock.testing.proof

import io.egretlock.testing.system.ProcessSignal
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Kills and pauses each kind of process at each moment of a job, with resubmissions through the other entry. */
class ProcessFaultTest {
    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an entry is killed, then every promise is kept`(moment: Moment) =
        kill(Victim.ENTRY, moment)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an agent is killed, then every promise is kept`(moment: Moment) =
        kill(Victim.AGENT, moment)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an upstream is killed, then every promise is kept`(moment: Moment) =
        kill(Victim.UPSTREAM, moment)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an entry is paused and goes on, then every promise is kept`(moment: Moment) =
        pause(Victim.ENTRY, moment)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an agent is paused and goes on, then every promise is kept`(moment: Moment) =
        pause(Victim.AGENT, moment)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an upstream is paused and goes on, then every promise is kept`(moment: Moment) =
        pause(Victim.UPSTREAM, moment)

    private fun kill(
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

    private fun pause(
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

    private companion object {
        const val PAUSE_MILLIS = 1_800L

        @JvmField
        @RegisterExtension
        val shared = SharedFixture(::FaultySystem)

        val faulty: FaultySystem
            get() = shared.value
    }
}
