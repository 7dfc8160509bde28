package io.egretlock.protocol

import io.egretlock.core.claim.HandedClaim
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.PromiseQuestion
import io.egretlock.core.roster.RosterHistory
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Entry to entry: the rosters and handovers that the sender knows. */
@Serializable
@SerialName("history-update")
data class HistoryUpdate(
    val history: RosterHistory,
) : Message

/** Entry to entry in a store outage: do you know of nothing newer? Answered by [PromiseReply], or not at all. */
@Serializable
@SerialName("promise-request")
data class PromiseRequest(
    val question: PromiseQuestion,
) : Message

/** Entry to entry: [from] knows of nothing newer than [question] says, and has nothing under way. */
@Serializable
@SerialName("promise-reply")
data class PromiseReply(
    val from: ProcessId,
    val question: PromiseQuestion,
) : Message

/** Entry to a member of the roster: publish one with [member]. */
@Serializable
@SerialName("join-request")
data class JoinRequest(
    val member: EntryMember,
) : Message

/**
 * Entry that leaves to its heir: claims that the heir answers for from now on. Answered by [HandoverReply].
 *
 * @property heir the process that is meant: a later one at its address cannot know what the heir took.
 * @property running jobs that have not ended, each at the entry that will answer for it until then.
 * @property owners the sender and the entries that it had inherited from; empty in all parts but the last.
 */
@Serializable
@SerialName("claim-handover")
data class ClaimHandover(
    val request: Long,
    val sender: ProcessId,
    val heir: ProcessId,
    val owners: Set<ProcessId>,
    val claims: List<HandedClaim>,
    val running: List<RunningJob>,
) : Message

/** A job that has not ended, at [holder]. */
@Serializable
data class RunningJob(
    val job: JobId,
    val holder: EntryMember,
)

/** [heir] to the entry that leaves: this part of the claims is recorded, or refused because the heir is leaving too. */
@Serializable
@SerialName("handover-reply")
data class HandoverReply(
    override val request: Long,
    val heir: ProcessId,
    val accepted: Boolean,
) : ReplyMessage
