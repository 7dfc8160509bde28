package io.egretlock.entry

import io.egretlock.core.claim.ExportedClaim
import io.egretlock.core.home.JobProgress
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.EntryShare
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.OutcomeReport
import io.egretlock.protocol.RunningJob
import io.egretlock.protocol.SettingsRevision
import kotlinx.coroutines.CompletableDeferred

/** Input of a [HomeTask], handled in order of arrival. */
internal sealed interface HomeInput {
    /**
     * Claims [job] or joins it; [reply] gets its outcome. If [verdictIfUnknown] is set, an unknown job is not claimed
     * but answered with it.
     */
    data class Submit(
        val job: Job,
        val remainingMillis: Long,
        val reply: CompletableDeferred<SubmitReply>,
        val verdictIfUnknown: Verdict? = null,
    ) : HomeInput

    /** Stops claiming in favour of [heir]; [reply] gets all claims, to send to the heir. */
    data class HandOver(
        val heir: EntryMember,
        val reply: CompletableDeferred<ExportedClaims>,
    ) : Membership

    /** Resumes claiming after the heir has refused or not answered. */
    data object ResumeClaiming : Membership

    /** Takes over the claims and running jobs of [part]; [reply] gets whether they were accepted. */
    data class Inherit(
        val part: ClaimHandover,
        val reply: CompletableDeferred<Boolean>,
    ) : Membership

    /** Looks up the other entry at which [job] runs; [reply] gets null if none is known. */
    data class FindHolder(
        val job: JobId,
        val reply: CompletableDeferred<EntryMember?>,
    ) : Membership

    /** Sends [rosters] to the agents, which must connect to their members. */
    data class RostersChanged(
        val rosters: List<Roster>,
    ) : Membership

    /** Refuses new jobs; claimed jobs go on. */
    data object StopClaiming : Membership

    /** Cancels [job]; [reply] gets its outcome, or null if it is not known here. */
    data class Cancel(
        val job: JobId,
        val reply: CompletableDeferred<JobOutcome?>,
    ) : HomeInput

    /** Queries the progress of [job]; [reply] gets null if it is not known here. */
    data class Query(
        val job: JobId,
        val reply: CompletableDeferred<JobProgress?>,
    ) : HomeInput

    /** An agent has connected. */
    data class AgentOpened(
        val link: Link,
        val agent: ProcessId,
        val failureDomain: FailureDomain,
        val announcement: UpstreamAnnouncement?,
        val revisions: List<SettingsRevision>,
    ) : HomeInput

    /** A message from a connected agent. */
    data class FromAgent(
        val link: Link,
        val agent: ProcessId,
        val message: Message,
    ) : HomeInput

    /** A connection of an agent has ended. */
    data class AgentClosed(
        val link: Link,
        val agent: ProcessId,
    ) : HomeInput

    /** New settings for a team. */
    data class Settings(
        val stored: StoredTeamSettings,
    ) : HomeInput

    /** The number of entries that share the limits, or the position of this entry among them, has changed. */
    data class EntriesChanged(
        val share: EntryShare,
    ) : Membership

    /** Queries how the jobs of [team] ended here and which settings revisions are in force. */
    data class Outcomes(
        val team: TeamName,
        val reply: CompletableDeferred<OutcomeReport>,
    ) : HomeInput

    /** Input about the membership of this entry and about handovers between entries. */
    sealed interface Membership : HomeInput

    /** A tick, sent at intervals. */
    data object Tick : HomeInput

    /** Queries the state for operators. */
    data class Dump(
        val reply: CompletableDeferred<HomeDump>,
    ) : HomeInput
}

/** Reply of a [HomeTask] to a submission. */
internal sealed interface SubmitReply {
    /** The job ended. */
    data class Ended(
        val outcome: JobOutcome,
    ) : SubmitReply

    /** The job belongs to [member], which holds it or, if no entry does, may claim it. */
    data class Redirect(
        val member: EntryMember,
    ) : SubmitReply
}

/** All claims and running jobs of a home, for its heir; [owners] are the entries that made the claims. */
internal data class ExportedClaims(
    val ended: List<ExportedClaim>,
    val running: List<RunningJob>,
    val owners: Set<ProcessId>,
)
