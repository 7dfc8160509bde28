package io.egretlock.entry.run

import io.egretlock.core.job.JobId

/**
 * Jobs that callers have cancelled at this entry while no entry was known to work on them. A young job of another entry
 * is not known here yet; it is cancelled when its owner announces it. So a cancel needs no message to all entries.
 *
 * Times are in milliseconds of a monotonic clock.
 */
internal class CancelledJobs {
    private val cancelledAtMillis =
        object : LinkedHashMap<JobId, Long>() {
            override fun removeEldestEntry(eldest: Map.Entry<JobId, Long>): Boolean = size > MAX_JOBS
        }

    /** Records that [job] was cancelled. */
    fun add(
        job: JobId,
        nowMillis: Long,
    ) {
        cancelledAtMillis[job] = nowMillis
    }

    /** Returns those of [jobs] that were cancelled recently. */
    fun among(
        jobs: Collection<JobId>,
        nowMillis: Long,
    ): List<JobId> = jobs.filter { job -> cancelledAtMillis[job]?.let { nowMillis - it < KEPT_MILLIS } ?: false }

    companion object {
        /** Longer than entries usually can't reach each other. */
        const val KEPT_MILLIS = 30_000L
        const val MAX_JOBS = 16_384
    }
}
