package io.egretlock.protocol

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TeamName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How the jobs of one team ended at one entry since its start, and which settings revisions are in force around it. */
@Serializable
data class OutcomeReport(
    val entry: ProcessId,
    val outcomes: List<OutcomeCount>,
    val revisions: List<ProcessRevision>,
)

/** Number of jobs that ended with [verdict] for [reason]; complete jobs have the verdict "complete" and no reason. */
@Serializable
data class OutcomeCount(
    val verdict: String,
    val reason: String,
    val jobs: Long,
)

/** Settings revision that [process] has in force; 0 if it has none. */
@Serializable
data class ProcessRevision(
    val process: ProcessId,
    val revision: Long,
)

/** Entry to entry: how did the jobs of [team] end at yours? Answered by [OutcomesReply]. */
@Serializable
@SerialName("outcomes-request")
data class OutcomesRequest(
    val request: Long,
    val team: TeamName,
) : Message

/** Answer to [OutcomesRequest]. */
@Serializable
@SerialName("outcomes-reply")
data class OutcomesReply(
    override val request: Long,
    val report: OutcomeReport,
) : ReplyMessage
