package io.egretlock.entry

import io.egretlock.core.home.JobProgress
import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TeamName
import io.egretlock.core.placement.EntryShare
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.OutcomeReport
import io.egretlock.protocol.SettingsRevision
import kotlinx.coroutines.CompletableDeferred

/** Everything that reaches a [HomeTask], in order of arrival. */
internal sealed interface HomeInput {
    /** Claim [job] or join it; [reply] gets its outcome. */
    data class Submit(
        val job: Job,
        val remainingMillis: Long,
        val reply: CompletableDeferred<JobOutcome>,
    ) : HomeInput

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
    ) : HomeInput

    /** How did the jobs of [team] end here, and which settings are in force? */
    data class Outcomes(
        val team: TeamName,
        val reply: CompletableDeferred<OutcomeReport>,
    ) : HomeInput

    /** Claim no more jobs. */
    data object StopClaiming : HomeInput

    /** Time has passed. */
    data object Tick : HomeInput

    /** What is the state? */
    data class Dump(
        val reply: CompletableDeferred<HomeDump>,
    ) : HomeInput
}
