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
            is JobHome.Here -> JobLocation.Here
            is JobHome.At -> JobLocation.Elsewhere(home.member)
            is JobHome.HereUnconfirmed -> JobLocation.HereIfKnown(unconfirmed())
            is JobHome.Lost -> JobLocation.HereIfKnown(lost(home, nowMillis))
            is JobHome.TooOld -> JobLocation.HereIfKnown(tooOld())
            is JobHome.FromTheFuture -> JobLocation.Nowhere(fromTheFuture())
            is JobHome.Unknown -> JobLocation.Nowhere(unknown())
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

    private fun tooOld() =
        Verdict.MayHaveRun(Reason.RETENTION, "The job was created longer ago than jobs are remembered.")

    /** Not [Verdict.NotRun], which is final: later rosters may name another home, so no home can record the refusal. */
    private fun fromTheFuture() =
        Verdict.MayHaveRun(
            Reason.CREATION_TIME,
            "The job's creation time is ahead of this entry's clock; the same request can run later.",
        )

    private fun unknown() = Verdict.MayHaveRun(Reason.NO_AUTHORITY, "The entry knows no roster yet.")
}
