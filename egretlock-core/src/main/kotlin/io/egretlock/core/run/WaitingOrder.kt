package io.egretlock.core.run

/** Order in which waiting jobs get room. */
interface WaitingOrder {
    /** Sorts [jobs], first to be served first. */
    fun sorted(
        jobs: Collection<HeldJob>,
        latestStart: (HeldJob) -> Double,
        nowMillis: Long,
    ): List<HeldJob>
}

/** First come, first served: the baseline for [LatestStartOrder]. */
class ArrivalOrder : WaitingOrder {
    override fun sorted(
        jobs: Collection<HeldJob>,
        latestStart: (HeldJob) -> Double,
        nowMillis: Long,
    ): List<HeldJob> = jobs.sortedBy { it.arrivedAtMillis }
}

/**
 * Jobs that have begun come first, since a job is worth nothing before all of its tasks are done; then jobs that can still
 * meet their objective, the one that must start soonest first; then jobs that are late.
 *
 * Answers a queue at the crest in which first-come order makes every job late: it starts each just too late and finishes
 * none in time.
 */
class LatestStartOrder : WaitingOrder {
    override fun sorted(
        jobs: Collection<HeldJob>,
        latestStart: (HeldJob) -> Double,
        nowMillis: Long,
    ): List<HeldJob> =
        jobs
            .map { job -> Ranked(job, rank(job, latestStart(job), nowMillis), latestStart(job)) }
            .sortedWith(compareBy<Ranked> { it.rank }.thenBy { it.latestStart })
            .map { it.job }

    private fun rank(
        job: HeldJob,
        latestStart: Double,
        nowMillis: Long,
    ): Int =
        when {
            job.hasStarted -> BEGUN
            latestStart >= nowMillis -> IN_TIME
            else -> LATE
        }

    private class Ranked(
        val job: HeldJob,
        val rank: Int,
        val latestStart: Double,
    )

    private companion object {
        const val BEGUN = 0
        const val IN_TIME = 1
        const val LATE = 2
    }
}

/**
 * Jobs that have begun come first, then jobs that can still meet their objective, the smallest for its queue first, then
 * late ones by their latest start.
 *
 * Answers a crest above the room, where some jobs can't be served: the largest of each queue, whose room serves several
 * others, are the ones that wait and are turned away. Each queue keeps its share, since sizes are relative to the queue.
 */
class RelativeSizeOrder : WaitingOrder {
    private val latestStartOrder = LatestStartOrder()

    override fun sorted(
        jobs: Collection<HeldJob>,
        latestStart: (HeldJob) -> Double,
        nowMillis: Long,
    ): List<HeldJob> {
        val (inTime, others) = jobs.partition { !it.hasStarted && latestStart(it) >= nowMillis }
        val (begun, late) = others.partition { it.hasStarted }
        return latestStartOrder.sorted(begun, latestStart, nowMillis) +
            inTime.sortedWith(compareBy<HeldJob> { it.relativeSize }.thenBy { it.arrivedAtMillis }) +
            latestStartOrder.sorted(late, latestStart, nowMillis)
    }
}
