package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.RunningJob

/**
 * Tracks which other entry answers for a job that this home does not know: the heir, once this entry hands over its
 * claims, or a leaving entry that still runs a job whose claim its heir takes over later.
 */
internal class ClaimOwnership(
    private val self: EntryMember,
) {
    private val runningElsewhere = linkedMapOf<JobId, EntryMember>()
    private val predecessors = mutableSetOf<ProcessId>()
    private val refusedRequests = mutableMapOf<ProcessId, Long>()

    /** This entry and all entries whose claims it has taken over. */
    val owners: Set<ProcessId>
        get() = predecessors + self.entry

    /** The entry that claims new jobs in place of this one; null while this entry claims them. */
    var heir: EntryMember? = null
        private set

    /** Sets the heir. Later calls have no effect until [resumeClaiming]. */
    fun handOver(to: EntryMember) {
        if (heir == null) heir = to
    }

    /** Removes an heir that has not taken over and never will, so that this entry claims jobs again. */
    fun resumeClaiming() {
        heir = null
    }

    /**
     * Accepts or refuses a part of a handover. A part is refused if this entry is leaving itself, or if it is meant for
     * another process at this address. Requests are repeated, and either answer is final: a refused leaver claims jobs
     * again, so a late repetition must not be accepted, and a leaver whose last part was accepted must not be refused.
     */
    fun accept(part: ClaimHandover): Boolean {
        if (part.heir != self.entry) return false
        val isLast = part.owners.isNotEmpty()
        if (isLast && part.sender in predecessors) return true
        val refusedRequest = refusedRequests[part.sender]
        val accepted = heir == null && (refusedRequest == null || part.request > refusedRequest)
        if (!accepted) refusedRequests.merge(part.sender, part.request, ::maxOf)
        if (accepted) predecessors += part.owners
        return accepted
    }

    /** Records jobs that run at other entries. */
    fun inherit(jobs: List<RunningJob>) {
        jobs.filter { it.holder != self }.forEach { runningElsewhere[it.job] = it.holder }
    }

    /** Removes jobs that have ended and whose claims are held here. */
    fun removeEnded(jobs: List<JobId>) {
        runningElsewhere.keys -= jobs.toSet()
    }

    /** The entry that answers for [job], which is not known here; null if this entry may claim it. */
    fun holderOf(job: JobId): EntryMember? = holderOfRunning(job) ?: heir

    /** The other entry at which [job] runs; null if none is known. */
    fun holderOfRunning(job: JobId): EntryMember? = runningElsewhere[job]

    /** All jobs that have not ended: [own], the jobs of this entry, and those at other entries. */
    fun runningJobs(own: List<JobId>): List<RunningJob> =
        own.map { RunningJob(it, self) } + runningElsewhere.map { (job, holder) -> RunningJob(job, holder) }
}
