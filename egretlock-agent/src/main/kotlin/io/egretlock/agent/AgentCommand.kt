package io.egretlock.agent

import io.egretlock.core.job.TaskId
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.Message
import io.egretlock.protocol.Welcome
import kotlinx.coroutines.CompletableDeferred

/** What other coroutines and threads tell the [Agent], which alone owns the agent's state. */
internal sealed interface AgentCommand

/** A dialler is about to dial [address]. */
internal data class DialRequested(
    val address: NodeAddress,
    val reply: CompletableDeferred<DialPermission>,
) : AgentCommand

/** An entry welcomed a connection after [hello]; it replaces any earlier connection of the entry. */
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

/** The upstream announced itself; [accepted] is false while the agent drains. */
internal data class UpstreamAnnounced(
    val announcement: UpstreamAnnouncement,
    val accepted: CompletableDeferred<Boolean>,
) : AgentCommand

/** The upstream leaves; answered with the number of tasks that still run. */
internal data class UpstreamLeft(
    val runningTasks: CompletableDeferred<Int>,
) : AgentCommand

/** A call to the upstream ended. */
internal data class CallEnded(
    val task: TaskId,
    val end: CallEnd,
    val runMillis: Long,
) : AgentCommand

/** A request to stop a task ended, for better or worse. */
internal data object StopEnded : AgentCommand

/** A connection probe of the upstream at [address] ended. */
internal data class ProbeEnded(
    val address: String,
    val reachable: Boolean,
) : AgentCommand

/** Time has passed. */
internal data object Tick : AgentCommand

/** Stop taking tasks; [done] completes once nothing runs and all answers are acknowledged. */
internal data class DrainRequested(
    val done: CompletableDeferred<Unit>,
) : AgentCommand

/** The operators ask for the agent's state. */
internal data class DumpRequested(
    val reply: CompletableDeferred<AgentDump>,
) : AgentCommand
