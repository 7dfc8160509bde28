package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.RunningJob

/**
 * Which other entry answers for a job that this home does not know: the heir, once this entry hands over, or an entry
 * that is leaving and lets a job end that its heir answers for later.
 */
internal class ClaimCustody(
    private val self: EntryMember,
) {
    private val running = linkedMapOf<JobId, EntryMember>()

    /** The entry that claims new jobs in place of this one; null while this one does. */
    var heir: EntryMember? = null
        private set

    /** Names the heir. Only the first one counts. */
    fun handOver(to: EntryMember) {
        if (heir == null) heir = to
    }

    /** Other entries have these jobs. */
    fun inherit(jobs: List<RunningJob>) {
        jobs.filter { it.holder != self }.forEach { running[it.job] = it.holder }
    }

    /** These jobs have ended, and their claims are here. */
    fun ended(jobs: List<JobId>) {
        running.keys -= jobs.toSet()
    }

    /** Who answers for [job], which is not known here; null if this entry may claim it. */
    fun holderOf(job: JobId): EntryMember? = running[job] ?: heir

    /** All jobs that have not ended: [own] ones and those at other entries. */
    fun runningJobs(own: List<JobId>): List<RunningJob> =
        own.map { RunningJob(it, self) } + running.map { (job, holder) -> RunningJob(job, holder) }
}
