package io.egretlock.core.placement

import io.egretlock.core.job.Job

/** Estimates how long a job would wait if it were queued now. */
internal class JobForecaster(
    private val components: FairDispatcherComponents,
    private val queues: ClassQueues,
) {
    /** Returns the forecast for [job] at a drain rate of [ratePerMilli], in milliseconds of work per millisecond. */
    fun forecast(
        job: Job,
        account: TeamAccount,
        remainingMillis: Long,
        ratePerMilli: Double,
    ): Forecast {
        val demand = JobDemand.of(job, components.classifier, components.runTimes)
        val longShare = queues.longShare
        val shortAhead = queues.short.workAheadMillis(account, demand.shortMillis) / (1 - longShare)
        val shortWait = minOf(queues.workMillis + demand.workMillis, shortAhead) / ratePerMilli
        val longAhead = queues.long.workAheadMillis(account, demand.longMillis) / longShare
        val longWait = if (demand.longMillis > 0) longAhead / ratePerMilli else 0.0
        val lastTaskMillis = demand.workMillis / job.tasks.size / ratePerMilli
        val waitMillis = maxOf(shortWait, longWait, quotaWaitMillis(account, demand)) - lastTaskMillis
        return Forecast(
            workMillis = demand.workMillis,
            waitMillis = waitMillis.coerceAtLeast(0.0),
            tailMillis = demand.tailMillis,
            remainingMillis = remainingMillis,
            ratePerMilli = ratePerMilli,
        )
    }

    /** Returns the time that the team's waiting tasks and the job need at the team's concurrency quota. */
    private fun quotaWaitMillis(
        account: TeamAccount,
        demand: JobDemand,
    ): Double {
        val ownMillis = queues.short.workMillisOf(account) + queues.long.workMillisOf(account) + demand.workMillis
        return ownMillis / account.concurrency
    }
}
