package io.egretlock.entry

import io.egretlock.core.claim.HandedClaim
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

/** Everything that reaches a [HomeTask], in order of arrival. */
internal sealed interface HomeInput {
    /** Claim [job] or join it; [reply] gets its outcome. If [unlessKnown] is set, it is the answer to an unknown job. */
    data class Submit(
        val job: Job,
        val remainingMillis: Long,
        val reply: CompletableDeferred<SubmitReply>,
        val unlessKnown: Verdict? = null,
    ) : HomeInput

    /** Claim no more jobs, since [heir] does from now on; [reply] gets all claims for it. */
    data class HandOver(
        val heir: EntryMember,
        val reply: CompletableDeferred<ClaimsToHand>,
    ) : Membership

    /** The heir refused; claim jobs again. */
    data object ResumeClaiming : Membership

    /** Answer for the claims and running jobs of [part] from now on; [reply] tells whether that is possible. */
    data class Inherit(
        val part: ClaimHandover,
        val reply: CompletableDeferred<Boolean>,
    ) : Membership

    /** Which other entry lets [job] end? [reply] gets null if none is known. */
    data class Holder(
        val job: JobId,
        val reply: CompletableDeferred<EntryMember?>,
    ) : Membership

    /** Agents must connect to the members of [rosters]. */
    data class RostersChanged(
        val rosters: List<Roster>,
    ) : Membership

    /** Refuse new jobs, and let the claimed ones end. */
    data object StopClaiming : Membership

    /** Cancel [job]; [reply] gets its outcome, or null if it is not known here. */
    data class Cancel(
        val job: JobId,
        val reply: CompletableDeferred<JobOutcome?>,
    ) : HomeInput

    /** How far is [job]? [reply] gets null if it is not known here. */
    data class Query(
        val job: JobId,
        val reply: CompletableDeferred<JobProgress?>,
    ) : HomeInput

    /** An agent has dialled. */
    data class AgentOpened(
        val link: Link,
        val agent: ProcessId,
        val failureDomain: FailureDomain,
        val announcement: UpstreamAnnouncement?,
        val revisions: List<SettingsRevision>,
    ) : HomeInput

    /** A message of a connected agent. */
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

    /** New settings of a team. */
    data class Settings(
        val stored: StoredTeamSettings,
    ) : HomeInput

    /** The entries that share the limits have changed. */
    data class EntriesChanged(
        val share: EntryShare,
    ) : Membership

    /** How did the jobs of [team] end here, and which settings are in force? */
    data class Outcomes(
        val team: TeamName,
        val reply: CompletableDeferred<OutcomeReport>,
    ) : HomeInput

    /** Concerns the entry's part among all entries. */
    sealed interface Membership : HomeInput

    /** Time has passed. */
    data object Tick : HomeInput

    /** What is the state? */
    data class Dump(
        val reply: CompletableDeferred<HomeDump>,
    ) : HomeInput
}

/** Answer of a [HomeTask] to a submission. */
internal sealed interface SubmitReply {
    /** The job ended. */
    data class Ended(
        val outcome: JobOutcome,
    ) : SubmitReply

    /** [member] has the job or, if nobody has, may claim it. */
    data class Moved(
        val member: EntryMember,
    ) : SubmitReply
}

/** All claims of a home, for its heir; [owners] are the entries that made them. */
internal data class ClaimsToHand(
    val ended: List<HandedClaim>,
    val running: List<RunningJob>,
    val owners: Set<ProcessId>,
)
