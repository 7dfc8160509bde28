package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.Message
import io.egretlock.protocol.Welcome
import kotlinx.coroutines.CompletableDeferred

/** Command from another coroutine or thread to the [Agent], whose coroutine is the only owner of its state. */
internal sealed interface AgentCommand

/** An [EntryDialer] asks whether it may dial [address]. */
internal data class DialRequested(
    val address: NodeAddress,
    val reply: CompletableDeferred<DialPermission>,
) : AgentCommand

/** An entry answered [hello] with [welcome]; [connection] replaces any earlier connection of the entry. */
internal data class EntryConnected(
    val connection: EntryConnection,
    val hello: AgentHello,
    val welcome: Welcome,
) : AgentCommand

/** An entry sent a message. */
internal data class EntryMessage(
    val connection: EntryConnection,
    val message: Message,
) : AgentCommand

/** A connection ended. */
internal data class EntryDisconnected(
    val connection: EntryConnection,
) : AgentCommand

/** The upstream announced itself; [accepted] completes with false while the agent drains. */
internal data class UpstreamAnnounced(
    val announcement: UpstreamAnnouncement,
    val accepted: CompletableDeferred<Boolean>,
) : AgentCommand

/** The upstream leaves; [runningTasks] completes with the number of tasks that are still running on it. */
internal data class UpstreamLeft(
    val runningTasks: CompletableDeferred<Int>,
) : AgentCommand

/** A call to the upstream ended. */
internal data class CallEnded(
    val task: TaskId,
    val end: CallEnd,
    val runMillis: Long,
) : AgentCommand

/** A request to stop a task ended, successfully or not. */
internal data object StopEnded : AgentCommand

/** A connection probe of the upstream at [address] ended. */
internal data class ProbeEnded(
    val address: String,
    val reachable: Boolean,
) : AgentCommand

/** Periodic trigger of time limits, probes and gauges. */
internal data object Tick : AgentCommand

/** Request to start no more tasks; [done] completes once no task is running and all answers are acknowledged. */
internal data class DrainRequested(
    val done: CompletableDeferred<Unit>,
) : AgentCommand

/** Request of an operator for the agent's state. */
internal data class DumpRequested(
    val reply: CompletableDeferred<AgentDump>,
) : AgentCommand
