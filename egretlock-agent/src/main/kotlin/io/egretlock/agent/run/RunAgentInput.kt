package io.egretlock.agent.run

import io.egretlock.core.run.ConnectedEntry
import io.egretlock.core.run.RenewalResult
import io.egretlock.core.run.RunId
import io.egretlock.core.run.StartAnswer
import io.egretlock.core.run.StopAnswer
import io.egretlock.core.run.UpstreamStatus
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message

/** Inputs of a [RunAgent]. */
internal sealed interface RunAgentInput {
    data class EntryConnected(
        val entry: ConnectedEntry,
        val link: Link,
    ) : RunAgentInput

    data class EntryMessage(
        val link: Link,
        val message: Message,
    ) : RunAgentInput

    data class EntryLost(
        val link: Link,
    ) : RunAgentInput

    data class HeartbeatReceived(
        val status: UpstreamStatus,
    ) : RunAgentInput

    data class UpstreamDeregistered(
        val name: String,
    ) : RunAgentInput

    data class StartAnswered(
        val run: RunId,
        val answer: StartAnswer,
        val fencingToken: Long,
    ) : RunAgentInput

    data class StopAnswered(
        val run: RunId,
        val answer: StopAnswer,
        val fencingToken: Long,
    ) : RunAgentInput

    data class RenewalEnded(
        val number: Long,
        val result: RenewalResult,
        val fencingToken: Long,
    ) : RunAgentInput

    data object Tick : RunAgentInput

    data object Drain : RunAgentInput
}
