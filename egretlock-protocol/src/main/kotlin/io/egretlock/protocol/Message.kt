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

/** Everything that processes of the system send to each other. Each message is one frame of a [Link]. */
@Serializable
sealed interface Message

/** A message that answers the one with the same [request] number on the same connection, or on an earlier one. */
@Serializable
sealed interface ReplyMessage : Message {
    /** Number that the asking entry chose. */
    val request: Long
}

/** First message of an agent on each connection it dials. [announcement] is null while no upstream is announced. */
@Serializable
@SerialName("agent-hello")
data class AgentHello(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
    val announcement: UpstreamAnnouncement?,
    val settingsRevisions: List<SettingsRevision>,
) : Message

/** First message of an entry on each connection it dials to another entry. */
@Serializable
@SerialName("entry-hello")
data class EntryHello(
    val entry: ProcessId,
    val address: NodeAddress,
) : Message

/** Answer of an entry to a hello. [rosters] are all that can still decide a job's home, oldest first. */
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
 * @property heard highest number that came from the other end, which proves that it is heard; 0 if none has come.
 */
@Serializable
@SerialName("heartbeat")
data class Heartbeat(
    val sequence: Long,
    val heard: Long = 0,
) : Message

/** Tells rosters that can still decide a job's home, oldest first. */
@Serializable
@SerialName("roster-update")
data class RosterUpdate(
    val rosters: List<Roster>,
) : Message

/** Tells settings; the receiver applies those with a higher revision than its own. */
@Serializable
@SerialName("settings-update")
data class SettingsUpdate(
    val settings: List<StoredTeamSettings>,
) : Message

/** Revision of a team's settings in force at the sender. */
@Serializable
data class SettingsRevision(
    val team: TeamName,
    val revision: Long,
)

/** Tells an entry which settings revisions are in force at the sender. */
@Serializable
@SerialName("settings-applied")
data class SettingsApplied(
    val revisions: List<SettingsRevision>,
) : Message

/** One placement of a task. */
typealias TaskAttempt = io.egretlock.core.gate.TaskAttempt

/**
 * Entry to agent: start a task, spending one credit.
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

/** Entry to agent: the outcomes of these tasks have arrived and need not be kept. */
@Serializable
@SerialName("acknowledge")
data class Acknowledge(
    val tasks: List<TaskId>,
) : Message

/** Entry to agent: make sure that this attempt never starts; answered by [RevokeReply]. */
@Serializable
@SerialName("revoke")
data class Revoke(
    val attempt: TaskAttempt,
) : Message

/** Entry to agent: the task's answer is no longer needed; stop it if the upstream can. */
@Serializable
@SerialName("cancel")
data class Cancel(
    val task: TaskId,
) : Message

/** Entry to agent after a reconnection: what became of these attempts? Answered by [ReconcileReply]. */
@Serializable
@SerialName("reconcile")
data class Reconcile(
    val attempts: List<TaskAttempt>,
) : Message

/** Entry to agent: [wanted] credits would be used at once; 0 withdraws an earlier request. */
@Serializable
@SerialName("credit-request")
data class CreditRequest(
    val wanted: Int,
) : Message

/** Entry to agent: answers [CreditRecall] with the credits that were unused. */
@Serializable
@SerialName("credit-return")
data class CreditReturn(
    val count: Int,
) : Message

/**
 * Agent to entry: what the upstream announces now. Null when it has left, is leaving or can't be reached: all credits
 * granted before have then ended.
 */
@Serializable
@SerialName("upstream-update")
data class UpstreamUpdate(
    val announcement: UpstreamAnnouncement?,
) : Message

/** Agent to entry: [count] more tasks may be started. Credits end with the connection they were granted on, and with an [UpstreamUpdate] without announcement. */
@Serializable
@SerialName("credit-grant")
data class CreditGrant(
    val count: Int,
) : Message

/** Agent to entry: give back up to [count] unused credits; answered by [CreditReturn]. */
@Serializable
@SerialName("credit-recall")
data class CreditRecall(
    val count: Int,
) : Message

/**
 * Agent to entry: a task ended. Repeated after a reconnection until acknowledged.
 *
 * @property runMillis time from the call to the upstream until its answer.
 * @property credit whether the freed slot is granted to the same entry again.
 */
@Serializable
@SerialName("finished")
data class Finished(
    val task: TaskId,
    val outcome: TaskOutcome,
    val runMillis: Long,
    val credit: Boolean,
) : Message

/** Agent to entry: this attempt did not start and never will. */
@Serializable
@SerialName("start-refused")
data class StartRefused(
    val attempt: TaskAttempt,
) : Message

/** Agent to entry: what a [Revoke] found. Unless [started], the attempt will never start. */
@Serializable
@SerialName("revoke-reply")
data class RevokeReply(
    val attempt: TaskAttempt,
    val started: Boolean,
) : Message

/** What an agent knows of an attempt. */
typealias AttemptState = io.egretlock.core.gate.AttemptState

/** State of one attempt at an agent. */
typealias AttemptStatus = io.egretlock.core.gate.AttemptStatus

/** Agent to entry: answers [Reconcile], one status for each attempt. [Finished] follows for finished ones. */
@Serializable
@SerialName("reconcile-reply")
data class ReconcileReply(
    val statuses: List<AttemptStatus>,
) : Message

/** Entry to a job's home: submit or join this job; answered by [ForwardReply] with the same [request]. */
@Serializable
@SerialName("forward-job")
data class ForwardJob(
    val request: Long,
    val job: Job,
    val remainingMillis: Long,
) : Message

/** Entry to a job's home: cancel the job. Answered by [ForwardReply]. */
@Serializable
@SerialName("forward-cancel")
data class ForwardCancel(
    val request: Long,
    val job: JobId,
    val createdAtMillis: Long,
) : Message

/** Entry to a job's home: what is the job's state? Answered by [ForwardStateReply]. */
@Serializable
@SerialName("forward-query")
data class ForwardQuery(
    val request: Long,
    val job: JobId,
) : Message

/** Home to the entry that forwarded a job or its cancellation: how the job ended. */
@Serializable
@SerialName("forward-reply")
data class ForwardReply(
    override val request: Long,
    val outcome: JobOutcome,
) : ReplyMessage

/** State of a job at its home. */
@Serializable
enum class JobState { UNKNOWN, QUEUED, RUNNING, COMPLETE, WITHOUT_ANSWER }

/** Home to the entry that asked: the job's state. */
@Serializable
@SerialName("forward-state-reply")
data class ForwardStateReply(
    override val request: Long,
    val state: JobState,
) : ReplyMessage
