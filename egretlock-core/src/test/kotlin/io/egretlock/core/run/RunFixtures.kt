package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import kotlin.random.Random

/** Builders of test data for this package. */
internal object RunFixtures {
    val service = ServiceName("booking")
    val ownDomain = FailureDomain("marka")
    val core = Room(1_000, 64)

    fun queue(
        name: String = "checks",
        attempts: Int = 2,
        slackFactor: Double = 1.6,
        targetMillis: Long = 60,
    ) = JobQueue(name, service, priority = 0, attempts, slackFactor, targetMillis)

    fun job(
        id: String,
        tasks: Int = 1,
        estimatedMillis: Long = 100,
        room: Room = core,
    ) = StepJob(JobId(id), "specification", listOf(JobStep(tasks, room, estimatedMillis)))

    fun agent(
        name: String,
        incarnation: Long = 1,
    ) = ProcessId(name, incarnation)

    fun report(
        cores: Int,
        free: Int = cores,
        speed: Double = 1.0,
        accepting: Boolean = true,
        upstream: String = "u",
        isPreferred: Boolean = false,
    ) = UpstreamReport(upstream, service, room(cores), room(free), speed, accepting, isPreferred)

    fun room(cores: Int) = Room(cores * 1_000L, cores * 64L)

    fun scheduler(
        policies: StepJobPolicies = StepJobPolicies.default(Random(1)),
        ownership: JobOwnership = JobOwnership(ProcessId("entry", 1)),
    ) = StepJobScheduler(AgentRooms(), policies, epochSeconds = { EPOCH_SECONDS }, ownership)

    fun run(
        job: String,
        index: Int = 0,
        number: Int = 1,
    ) = RunId(StepTask(JobId(job), 0, index), number)

    const val EPOCH_SECONDS = 1_700_000_000
}

internal fun List<StepJobEffect>.starts(): List<StepJobEffect.Start> = filterIsInstance<StepJobEffect.Start>()

internal fun List<StepJobEffect>.answers(): List<StepJobEffect.Answer> = filterIsInstance<StepJobEffect.Answer>()

internal fun List<StepJobEffect>.stops(): List<StepJobEffect.Stop> = filterIsInstance<StepJobEffect.Stop>()
