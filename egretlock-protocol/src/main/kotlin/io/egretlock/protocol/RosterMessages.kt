package io.egretlock.protocol

import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.PromiseQuestion
import io.egretlock.core.roster.RosterHistory
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Entry to entry: transmits the rosters and handovers that the sender knows. */
@Serializable
@SerialName("history-update")
data class HistoryUpdate(
    val history: RosterHistory,
) : Message

/**
 * Entry to entry during a store outage: asks whether the receiver knows of nothing newer than [question] says. Answered
 * by [PromiseReply] if so, otherwise not answered.
 */
@Serializable
@SerialName("promise-request")
data class PromiseRequest(
    val question: PromiseQuestion,
) : Message

/** Entry to entry: confirms that [from] knows of nothing newer than [question] says and has no change in progress. */
@Serializable
@SerialName("promise-reply")
data class PromiseReply(
    val from: ProcessId,
    val question: PromiseQuestion,
) : Message

/** Entry to a member of the roster: asks it to publish a roster that contains [member]. */
@Serializable
@SerialName("join-request")
data class JoinRequest(
    val member: EntryMember,
) : Message

/**
 * Leaving entry to its heir: claims that the heir is responsible for from now on. Answered by [HandoverReply].
 *
 * @property heir addressed process; a later process at its address does not know which claims the heir took.
 * @property running jobs that have not ended, each with the entry that is responsible for it until it ends.
 * @property owners the sender and the entries whose claims it had inherited; empty in all parts but the last.
 */
@Serializable
@SerialName("claim-handover")
data class ClaimHandover(
    val request: Long,
    val sender: ProcessId,
    val heir: ProcessId,
    val owners: Set<ProcessId>,
    val claims: List<ExportedClaim>,
    val running: List<RunningJob>,
) : Message

/** A job that has not ended and the entry [holder] that is responsible for it. */
@Serializable
data class RunningJob(
    val job: JobId,
    val holder: EntryMember,
)

/**
 * [heir] to the leaving entry: reports that this part of the claims is recorded, or refused because the heir is
 * leaving too.
 */
@Serializable
@SerialName("handover-reply")
data class HandoverReply(
    override val request: Long,
    val heir: ProcessId,
    val accepted: Boolean,
) : ReplyMessage
