package io.egretlock.protocol

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A message between processes of the system. Each message is one frame of a [Link]. */
@Serializable
sealed interface Message

/** A reply to the message with the same [request] number on the same connection or an earlier one. */
@Serializable
sealed interface ReplyMessage : Message {
    /** Number that the requesting entry chose. */
    val request: Long
}

/** First message of an agent on each connection that it opens. [announcement] is null if no upstream is announced. */
@Serializable
@SerialName("agent-hello")
data class AgentHello(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    val announcement: UpstreamAnnouncement?,
    val settingsRevisions: List<SettingsRevision>,
) : Message

/** First message of an entry on each connection that it opens to another entry. */
@Serializable
@SerialName("entry-hello")
data class EntryHello(
    val entry: ProcessId,
    val address: NodeAddress,
) : Message

/** Reply of an entry to a hello. [rosters] are all that can still determine a job's home, oldest first. */
@Serializable
@SerialName("welcome")
data class Welcome(
    val entry: ProcessId,
    val rosters: List<Roster>,
    val settings: List<StoredTeamSettings>,
) : Message

/**
 * Shows that a connection carries messages in both directions.
 *
 * @property sequence number of this heartbeat, from 1.
 * @property heard highest heartbeat number received from the peer, as confirmation; 0 if none has arrived.
 * @property isBusy whether the sender needs frequent heartbeats, see [Link.markBusy].
 */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(
    val sequence: Long,
    val heard: Long = 0,
    val isBusy: Boolean = false,
) : Message

/** Transmits the rosters that can still determine a job's home, oldest first. */
@Serializable
@SerialName("roster-update")
data class RosterUpdate(
    val rosters: List<Roster>,
) : Message

/** Transmits settings; the receiver applies those with a higher revision than its own. */
@Serializable
@SerialName("settings-update")
data class SettingsUpdate(
    val settings: List<StoredTeamSettings>,
) : Message

/** Revision of a team's settings that is in force at the sender. */
@Serializable
data class SettingsRevision(
    val team: TeamName,
    val revision: Long,
)

/** Reports to an entry the settings revisions in force at the sender. */
@Serializable
@SerialName("settings-applied")
data class SettingsApplied(
    val revisions: List<SettingsRevision>,
) : Message

/** One placement of a task at an agent. */
typealias TaskAttempt = io.egretlock.core.gate.TaskAttempt

/**
 * Entry to agent: starts a task, which spends one credit.
 *
 * @property remainingMillis time left until the job's deadline.
 */
@Serializable
@SerialName("start")
data class Start(
    val attempt: TaskAttempt,
    val team: TeamName,
    val specification: TaskSpecification,
    val remainingMillis: Long,
) : Message

/** Entry to agent: confirms that the outcomes of [tasks] have arrived, so that the agent can discard them. */
@Serializable
@SerialName("acknowledge")
data class Acknowledge(
    val tasks: List<TaskId>,
) : Message

/** Entry to agent: prevents [attempt] from starting unless it has started; answered by [RevokeReply]. */
@Serializable
@SerialName("revoke")
data class Revoke(
    val attempt: TaskAttempt,
) : Message

/** Entry to agent: cancels a task whose answer is no longer needed; the agent stops it if the upstream can. */
@Serializable
@SerialName("cancel")
data class Cancel(
    val task: TaskId,
) : Message

/** Entry to agent after a reconnection: requests the status of [attempts]; answered by [ReconcileReply]. */
@Serializable
@SerialName("reconcile")
data class Reconcile(
    val attempts: List<TaskAttempt>,
) : Message

/** Entry to agent: requests [wanted] credits, which it would use at once; 0 withdraws an earlier request. */
@Serializable
@SerialName("credit-request")
data class CreditRequest(
    val wanted: Int,
) : Message

/** Entry to agent: answers [CreditRecall] and returns [count] unused credits. */
@Serializable
@SerialName("credit-return")
data class CreditReturn(
    val count: Int,
) : Message

/**
 * Agent to entry: the current announcement of the upstream. Null if the upstream has left, is leaving or is
 * unreachable; all credits granted before are then void.
 */
@Serializable
@SerialName("upstream-update")
data class UpstreamUpdate(
    val announcement: UpstreamAnnouncement?,
) : Message

/**
 * Agent to entry: grants [count] credits, one for each further task. Credits become void when the connection on which
 * they were granted ends, and at an [UpstreamUpdate] without an announcement.
 */
@Serializable
@SerialName("credit-grant")
data class CreditGrant(
    val count: Int,
) : Message

/** Agent to entry: recalls up to [count] unused credits; answered by [CreditReturn]. */
@Serializable
@SerialName("credit-recall")
data class CreditRecall(
    val count: Int,
) : Message

/**
 * Agent to entry: reports the outcome of a task. Repeated after each reconnection until acknowledged.
 *
 * @property runMillis time from the call to the upstream until the answer.
 * @property credit whether the freed slot is granted to the same entry as a new credit.
 */
@Serializable
@SerialName("finished")
data class Finished(
    val task: TaskId,
    val outcome: TaskOutcome,
    val runMillis: Long,
    val credit: Boolean,
) : Message

/** Agent to entry: reports that [attempt] has not started and never will. */
@Serializable
@SerialName("start-refused")
data class StartRefused(
    val attempt: TaskAttempt,
) : Message

/** Agent to entry: answers [Revoke]. Unless [started], the attempt will never start. */
@Serializable
@SerialName("revoke-reply")
data class RevokeReply(
    val attempt: TaskAttempt,
    val started: Boolean,
) : Message

/** State of an attempt as an agent knows it. */
typealias AttemptState = io.egretlock.core.gate.AttemptState

/** An attempt with its state at an agent. */
typealias AttemptStatus = io.egretlock.core.gate.AttemptStatus

/** Agent to entry: answers [Reconcile] with one status for each attempt. [Finished] follows for finished attempts. */
@Serializable
@SerialName("reconcile-reply")
data class ReconcileReply(
    val statuses: List<AttemptStatus>,
) : Message

/** Entry to a job's home: submits or joins [job]; answered by [ForwardReply] with the same [request]. */
@Serializable
@SerialName("forward-job")
data class ForwardJob(
    val request: Long,
    val job: Job,
    val remainingMillis: Long,
) : Message

/** Entry to a job's home: cancels the job; answered by [ForwardReply]. */
@Serializable
@SerialName("forward-cancel")
data class ForwardCancel(
    val request: Long,
    val job: JobId,
    val createdAtMillis: Long,
) : Message

/** Entry to a job's home: requests the job's state; answered by [ForwardStateReply]. */
@Serializable
@SerialName("forward-query")
data class ForwardQuery(
    val request: Long,
    val job: JobId,
) : Message

/** Home to the entry that forwarded a job or its cancellation: reports how the job ended. */
@Serializable
@SerialName("forward-reply")
data class ForwardReply(
    override val request: Long,
    val outcome: JobOutcome,
) : ReplyMessage

/** State of a job at its home. */
@Serializable
enum class JobState { UNKNOWN, QUEUED, RUNNING, COMPLETE, WITHOUT_ANSWER }

/** Home to the requesting entry: reports the job's state. */
@Serializable
@SerialName("forward-state-reply")
data class ForwardStateReply(
    override val request: Long,
    val state: JobState,
) : ReplyMessage
