package io.egretlock.testing.proof

import io.egretlock.testing.link.LinkDirection
import io.egretlock.testing.system.ProcessSignal
import io.egretlock.testing.upstream.UpstreamMode
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.extension.RegisterExtension
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Open connections between processes go silent or are closed while new ones work, alone and with other faults. */
class LinkFaultTest {
    @ParameterizedTest(name = "{0}")
    @EnumSource(JobStage::class)
    fun `given jobs in flight, when open connections go silent both ways, then all guarantees hold`(stage: JobStage) =
        silence(stage, LinkDirection.entries.toSet())

    @ParameterizedTest(name = "{0}")
    @EnumSource(JobStage::class)
    fun `given jobs in flight, when open connections go silent to entries, then all guarantees hold`(stage: JobStage) =
        silence(stage, setOf(LinkDirection.TO_SERVER))

    @ParameterizedTest(
        name = "given jobs {0}, when open connections go silent from entries, then all guarantees hold",
    )
    @EnumSource(JobStage::class)
    fun `given jobs in flight, when open connections go silent from entries, then all guarantees hold`(
        stage: JobStage,
    ) = silence(stage, setOf(LinkDirection.TO_CLIENT))

    @ParameterizedTest(name = "{0}")
    @EnumSource(JobStage::class)
    fun `given jobs in flight, when open connections are cut, then all guarantees hold`(stage: JobStage) {
        faulty.advanceTo(stage)
        faulty.system.entries.forEach { it.link?.cut() }
        faulty.resubmit(faulty.otherEntry)
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    @AfterEach
    fun resetFaults() = faulty.system.agents.forEach { it.upstream.changeMode(UpstreamMode.NORMAL) }

    @Test
    fun `given started jobs, when connections go silent and an agent is killed, then all guarantees hold`() {
        faulty.advanceTo(JobStage.STARTED)
        faulty.system.entries.forEach { it.link?.silence() }
        faulty.agent.process.signal(ProcessSignal.KILL)
        faulty.resubmit(faulty.otherEntry)
        faulty.agent.start()
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    @Test
    fun `given queued jobs, when an entry is killed and the other is paused, then all guarantees hold`() {
        faulty.advanceTo(JobStage.QUEUED)
        faulty.entry.process.signal(ProcessSignal.KILL)
        faulty.otherEntry.process.signal(ProcessSignal.STOP)
        faulty.entry.process.awaitExit()
        faulty.entry.start()
        faulty.otherEntry.process.signal(ProcessSignal.CONT)
        faulty.resubmit(faulty.otherEntry)
        faulty.assertServing()
        faulty.resubmit(faulty.entry)
        faulty.assertNoViolations()
    }

    @Test
    fun `given hanging upstreams, when an agent is killed twice, then all guarantees hold`() {
        faulty.advanceTo(JobStage.STARTED) {
            faulty.system.agents.forEach { it.upstream.changeMode(UpstreamMode.HANG) }
        }
        repeat(2) {
            faulty.agent.process.signal(ProcessSignal.KILL)
            faulty.agent.process.awaitExit()
            faulty.agent.start()
        }
        faulty.system.agents.forEach { it.upstream.changeMode(UpstreamMode.NORMAL) }
        faulty.resubmit(faulty.otherEntry)
        faulty.assertNoViolations()
        faulty.assertServing()
    }

    private fun silence(
        stage: JobStage,
        directions: Set<LinkDirection>,
    ) {
        faulty.advanceTo(stage)
        faulty.system.entries.forEach { it.link?.silence(directions) }
        faulty.resubmit(faulty.otherEntry)
        faulty.submitAll(jobs = 2, tasks = 2, runMillis = 50)
        faulty.assertServing()
        faulty.assertNoViolations()
    }

    private companion object {
        @JvmField
        @RegisterExtension
        val shared = SharedFixture(::FaultySystem)

        val faulty: FaultySystem
            get() = shared.value
    }
}
