package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.RunningJob

/**
 * Which other entry answers for a job that this home does not know: the heir, once this entry hands over, or an entry
 * that is leaving and lets a job end that its heir answers for later.
 */
internal class ClaimCustody(
    private val self: EntryMember,
) {
    private val running = linkedMapOf<JobId, EntryMember>()
    private val predecessors = mutableSetOf<ProcessId>()
    private val refusedRequests = mutableMapOf<ProcessId, Long>()

    /** This entry and all whose claims it has taken over. */
    val owners: Set<ProcessId>
        get() = predecessors + self.entry

    /** The entry that claims new jobs in place of this one; null while this one does. */
    var heir: EntryMember? = null
        private set

    /** Names the heir. Only the first one counts, unless it is taken back. */
    fun handOver(to: EntryMember) {
        if (heir == null) heir = to
    }

    /** The heir has not taken over and never will; this entry claims again. */
    fun takeBack() {
        heir = null
    }

    /**
     * Whether this entry takes a part of a handover; not if it is leaving itself. Requests are repeated, and either answer
     * is final: a leaver that was refused claims again, so that no late repetition may be taken, and a leaver whose last
     * part was taken must never be refused. A part for another process at this address is not taken.
     */
    fun accepts(part: ClaimHandover): Boolean {
        if (part.heir != self.entry) return false
        val isLast = part.owners.isNotEmpty()
        if (isLast && part.sender in predecessors) return true
        val refusedRequest = refusedRequests[part.sender]
        val accepted = heir == null && (refusedRequest == null || part.request > refusedRequest)
        if (!accepted) refusedRequests.merge(part.sender, part.request, ::maxOf)
        if (accepted) predecessors += part.owners
        return accepted
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
    fun holderOf(job: JobId): EntryMember? = runningAt(job) ?: heir

    /** The other entry that lets [job] end; null if none is known. */
    fun runningAt(job: JobId): EntryMember? = running[job]

    /** All jobs that have not ended: [own] ones and those at other entries. */
    fun runningJobs(own: List<JobId>): List<RunningJob> =
        own.map { RunningJob(it, self) } + running.map { (job, holder) -> RunningJob(job, holder) }
}
