package io.egretlock.entry

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.JobHome

/** Maps a job's home, as the rosters determine it, to the handling of a request. */
internal object JobLocations {
    /** The location of a job whose home is [home]; [nowMillis] is in milliseconds since the epoch. */
    fun of(
        home: JobHome,
        nowMillis: Long,
    ): JobLocation =
        when (home) {
            is JobHome.Local -> JobLocation.Local
            is JobHome.Remote -> JobLocation.Remote(home.member)
            is JobHome.LocalUnconfirmed -> JobLocation.LocalIfKnown(unconfirmed())
            is JobHome.Lost -> JobLocation.LocalIfKnown(lost(home, nowMillis))
            is JobHome.Expired -> JobLocation.LocalIfKnown(expired())
            is JobHome.TooNew -> JobLocation.Refused(tooNew())
            is JobHome.Unknown -> JobLocation.Refused(unknown())
        }

    private fun unconfirmed() =
        Verdict.MayHaveRun(Reason.NO_AUTHORITY, "The entry cannot confirm now that it is the only home of the job.")

    private fun lost(
        home: JobHome.Lost,
        nowMillis: Long,
    ): Verdict {
        val waitMillis = (home.retryAtMillis - nowMillis).coerceAtLeast(0)
        return Verdict.MayHaveRun(
            Reason.HOME_LOST,
            "Entry '${home.home}', the home of the job, is gone. Jobs created in $waitMillis ms have another home.",
        )
    }

    private fun expired() =
        Verdict.MayHaveRun(Reason.RETENTION, "The job was created longer ago than jobs are remembered.")

    /** Not [Verdict.NotRun], which is final: later rosters may name another home, so no home can record the refusal. */
    private fun tooNew() =
        Verdict.MayHaveRun(
            Reason.CREATION_TIME,
            "The job's creation time is ahead of this entry's clock; the same request can run later.",
        )

    private fun unknown() = Verdict.MayHaveRun(Reason.NO_AUTHORITY, "The entry knows no roster yet.")
}
