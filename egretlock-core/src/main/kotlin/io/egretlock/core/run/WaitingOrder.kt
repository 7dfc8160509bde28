package io.egretlock.core.run

/** Policy that decides the order in which waiting jobs get room. */
interface WaitingOrder {
    /** Returns [jobs] sorted so that the job to be served first comes first. */
    fun sorted(
        jobs: Collection<ActiveJob>,
        latestStart: (ActiveJob) -> Double,
        nowMillis: Long,
    ): List<ActiveJob>
}

/** First come, first served. The baseline for [LatestStartOrder]. */
class ArrivalOrder : WaitingOrder {
    override fun sorted(
        jobs: Collection<ActiveJob>,
        latestStart: (ActiveJob) -> Double,
        nowMillis: Long,
    ): List<ActiveJob> = jobs.sortedBy { it.arrivedAtMillis }
}

/**
 * Sorts by latest start within three ranks: started jobs, since a job is of no use before all of its tasks are done;
 * then jobs that can still meet their latency objective; then late jobs.
 *
 * During a load peak, first come, first served makes every job late: it starts each one just too late and finishes none
 * in time.
 */
class LatestStartOrder : WaitingOrder {
    override fun sorted(
        jobs: Collection<ActiveJob>,
        latestStart: (ActiveJob) -> Double,
        nowMillis: Long,
    ): List<ActiveJob> =
        jobs
            .map { job -> Ranked(job, rank(job, latestStart(job), nowMillis), latestStart(job)) }
            .sortedWith(compareBy<Ranked> { it.rank }.thenBy { it.latestStart })
            .map { it.job }

    private fun rank(
        job: ActiveJob,
        latestStart: Double,
        nowMillis: Long,
    ): Int =
        when {
            job.hasStarted -> STARTED
            latestStart >= nowMillis -> IN_TIME
            else -> LATE
        }

    private class Ranked(
        val job: ActiveJob,
        val rank: Int,
        val latestStart: Double,
    )

    private companion object {
        const val STARTED = 0
        const val IN_TIME = 1
        const val LATE = 2
    }
}

/**
 * Sorts started jobs first, then jobs that can still meet their latency objective by ascending relative size, then late
 * jobs by their latest start.
 *
 * During a load peak above the capacity some jobs can't be served. With this order the largest jobs of each queue wait
 * and are refused, since the room of one of them serves several others. Each queue keeps its share, because sizes are
 * relative to the mean of the queue.
 */
class RelativeSizeOrder : WaitingOrder {
    private val latestStartOrder = LatestStartOrder()

    override fun sorted(
        jobs: Collection<ActiveJob>,
        latestStart: (ActiveJob) -> Double,
        nowMillis: Long,
    ): List<ActiveJob> {
        val (inTime, others) = jobs.partition { !it.hasStarted && latestStart(it) >= nowMillis }
        val (started, late) = others.partition { it.hasStarted }
        return latestStartOrder.sorted(started, latestStart, nowMillis) +
            inTime.sortedWith(compareBy<ActiveJob> { it.relativeSize }.thenBy { it.arrivedAtMillis }) +
            latestStartOrder.sorted(late, latestStart, nowMillis)
    }
}
