package io.egretlock.protocol

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TeamName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * Outcomes of the jobs of a team at an entry since its start, and the settings revisions in force at the entry and the
 * agents connected to it.
 */
@Serializable
data class OutcomeReport(
    val entry: ProcessId,
    val outcomes: List<OutcomeCount>,
    val revisions: List<ProcessRevision>,
)

/** Number of jobs that ended with [verdict] and [reason]; complete jobs have the verdict "complete" and no reason. */
@Serializable
data class OutcomeCount(
    val verdict: String,
    val reason: String,
    val jobs: Long,
)

/** Settings revision that is in force at [process]; 0 if it has none. */
@Serializable
data class ProcessRevision(
    val process: ProcessId,
    val revision: Long,
)

/** Entry to entry: requests the outcomes of the jobs of [team] at the receiver; answered by [OutcomesReply]. */
@Serializable
@SerialName("outcomes-request")
data class OutcomesRequest(
    val request: Long,
    val team: TeamName,
) : Message

/** Reply to [OutcomesRequest]. */
@Serializable
@SerialName("outcomes-reply")
data class OutcomesReply(
    override val request: Long,
    val report: OutcomeReport,
) : ReplyMessage
