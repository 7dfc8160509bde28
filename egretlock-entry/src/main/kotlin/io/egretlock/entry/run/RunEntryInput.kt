package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.RunAgentHello
import kotlinx.coroutines.CompletableDeferred

/** Inputs of a [RunEntry]. */
internal sealed interface RunEntryInput {
    data class Submitted(
        val job: StepJob,
        val queue: JobQueue,
        val patienceMillis: Long?,
        val answer: CompletableDeferred<StepJobOutcome>,
    ) : RunEntryInput

    data class CallerLeft(
        val job: JobId,
        val answer: CompletableDeferred<StepJobOutcome>,
    ) : RunEntryInput

    data class Cancelled(
        val job: JobId,
    ) : RunEntryInput

    data class AgentConnected(
        val hello: RunAgentHello,
        val link: Link,
    ) : RunEntryInput

    data class AgentMessage(
        val link: Link,
        val message: Message,
    ) : RunEntryInput

    data class AgentLost(
        val link: Link,
    ) : RunEntryInput

    /** A direct connection to another entry is open. */
    data class PeerConnected(
        val entry: ProcessId,
        val link: Link,
    ) : RunEntryInput

    data class PeerMessage(
        val entry: ProcessId,
        val message: Message,
    ) : RunEntryInput

    data class PeerLost(
        val entry: ProcessId,
        val link: Link,
    ) : RunEntryInput

    data class QueuesChanged(
        val names: Set<String>,
    ) : RunEntryInput

    data object Tick : RunEntryInput
}
