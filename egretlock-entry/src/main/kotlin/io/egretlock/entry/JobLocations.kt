package io.egretlock.entry

import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.JobHome

/** Turns what the rosters say about a job's home into what an entry does with a request. */
internal object JobLocations {
    /** What to do about a job whose home is [home], at [nowMillis] since the epoch. */
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

    /** No home can record this refusal, as rosters still to come may name another; so it cannot be "not run" for ever. */
    private fun fromTheFuture() =
        Verdict.MayHaveRun(
            Reason.CREATION_TIME,
            "The job's creation time is ahead of this entry's clock; the same request can run later.",
        )

    private fun unknown() = Verdict.MayHaveRun(Reason.NO_AUTHORITY, "The entry knows no roster yet.")
}
