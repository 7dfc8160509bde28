package io.egretlock.protocol

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.OwnedJobs
import io.egretlock.core.run.StepJobOutcome
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Agent to entry: all entries that the agent is connected to, including the receiver. */
@Serializable
@SerialName("connected-entries")
data class ConnectedEntries(
    val entries: List<ProcessId>,
) : Message

/**
 * Entry to agent: [entry] has left a question unanswered, so that the agent should find out soon whether its connection to
 * that entry is silent.
 */
@Serializable
@SerialName("check-entry")
data class CheckEntry(
    val entry: ProcessId,
) : Message

/**
 * Transports [message] between two entries through an agent that is connected to both, since their own connection may
 * be cut.
 *
 * @property peer to the agent: the receiver of the message; from the agent: its sender.
 */
@Serializable
@SerialName("relayed")
data class Relayed(
    val peer: ProcessId,
    val message: Message,
) : Message

/** Entry to entry: announces the jobs of the sender; answered by [JobsConfirmed]. */
@Serializable
@SerialName("jobs-announced")
data class JobsAnnounced(
    val owned: OwnedJobs,
) : Message

/** Entry to entry: answers the announcement number [round]; [kept] are jobs of it that the sender owns itself. */
@Serializable
@SerialName("jobs-confirmed")
data class JobsConfirmed(
    val round: Long,
    val kept: List<JobId>,
) : Message

/** Entry to the owner of [job]: callers of the sender wait for the job too; answered by [JoinedJobEnded]. */
@Serializable
@SerialName("join-job")
data class JoinJob(
    val job: JobId,
) : Message

/** Entry to the owner of [job]: no caller of the sender waits for the job any more. */
@Serializable
@SerialName("leave-job")
data class LeaveJob(
    val job: JobId,
) : Message

/** Entry to the owner of [job]: the caller has cancelled it. */
@Serializable
@SerialName("cancel-job")
data class CancelJob(
    val job: JobId,
) : Message

/** Owner of [job] to an entry that has joined it: how the job ended. */
@Serializable
@SerialName("joined-job-ended")
data class JoinedJobEnded(
    val job: JobId,
    val outcome: StepJobOutcome,
) : Message
