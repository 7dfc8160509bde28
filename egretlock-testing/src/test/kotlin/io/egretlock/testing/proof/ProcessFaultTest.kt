package io.egretlock.testing.proof

import io.egretlock.testing.system.ProcessSignal
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Kills or pauses each kind of process at each stage of the jobs, and resubmits the jobs at the other entry. */
class ProcessFaultTest {
    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an entry is killed, then all guarantees hold`(stage: JobStage) =
        kill(FaultTarget.ENTRY, stage)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an agent is killed, then all guarantees hold`(stage: JobStage) =
        kill(FaultTarget.AGENT, stage)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an upstream is killed, then all guarantees hold`(stage: JobStage) =
        kill(FaultTarget.UPSTREAM, stage)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an entry is paused and resumed, then all guarantees hold`(stage: JobStage) =
        pause(FaultTarget.ENTRY, stage)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an agent is paused and resumed, then all guarantees hold`(stage: JobStage) =
        pause(FaultTarget.AGENT, stage)

    @ParameterizedTest(name = "{0}")
    @EnumSource
    fun `given jobs in flight, when an upstream is paused and resumed, then all guarantees hold`(stage: JobStage) =
        pause(FaultTarget.UPSTREAM, stage)

    private fun kill(
        target: FaultTarget,
        stage: JobStage,
    ) {
        faulty.advanceTo(stage)
        faulty.processOf(target).signal(ProcessSignal.KILL)
        faulty.processOf(target).awaitExit()
        faulty.resubmit(faulty.otherEntry)
        faulty.submitAll(jobs = 2, tasks = 2, runMillis = 50)
        faulty.restart(target)
        faulty.assertServing()
        faulty.resubmit(faulty.entry)
        faulty.assertNoViolations()
    }

    private fun pause(
        target: FaultTarget,
        stage: JobStage,
    ) {
        faulty.advanceTo(stage)
        faulty.processOf(target).signal(ProcessSignal.STOP)
        faulty.resubmit(faulty.otherEntry)
        faulty.submitAll(jobs = 2, tasks = 2, runMillis = 50)
        Thread.sleep(PAUSE_MILLIS)
        faulty.processOf(target).signal(ProcessSignal.CONT)
        faulty.assertServing()
        faulty.resubmit(faulty.entry)
        faulty.assertNoViolations()
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
