package io.egretlock.core.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId

/**
 * Decides whether an entry may have runs of a job, so that two entries never work on the same job at a time.
 *
 * A caller whose connection broke submits its job again at any entry, while the first entry may not have noticed. So
 * each entry announces its older jobs to all reachable entries, those that it or one of its agents is connected to. An
 * entry that confirms an announcement does not start the announced jobs until they are no longer announced, or until
 * their owner is out of reach and its agents have stopped its runs. A job without all confirmations may have runs only
 * while it is so young that no caller can have repeated it.
 *
 * After a standstill of this process, or once another entry becomes reachable, that entry may own jobs that this one
 * does not know of; for a while it has to confirm each job before it is placed, however young it is.
 *
 * It does no input or output. Times are in milliseconds of a monotonic clock.
 */
class JobOwnership(
    private val self: ProcessId,
    private val timing: OwnershipTiming = OwnershipTiming(),
) {
    private val own = LinkedHashMap<JobId, OwnJob>()
    private val others = LinkedHashMap<ProcessId, OtherEntry>()
    private val foreign = HashMap<ProcessId, ForeignJobs>()
    private var lastRound = 0L
    private var sentAtMillis = 0L
    private var isListChanged = false
    private var checkDueMillis = Long.MIN_VALUE
    private var blockedUntilMillis = Long.MIN_VALUE

    /** Entries that have to confirm announcements. */
    val reachableEntries: Set<ProcessId>
        get() = others.filterValues { it.lostAtMillis == null }.keys

    /** Records that a job was accepted; its age counts from now on unless its earlier runs are not over yet. */
    fun open(
        job: JobId,
        nowMillis: Long,
    ) {
        own.putIfAbsent(job, OwnJob(nowMillis))
        if (isInDoubt(nowMillis)) checkDueMillis = nowMillis
    }

    /** Records that a job has been answered or given up and that all its runs are over. */
    fun close(job: JobId) {
        val closed = own.remove(job) ?: return
        if (closed.announcedRound != null || closed.isDisputed) isListChanged = true
    }

    /** Whether runs of the entry's own [job] may be ordered now. */
    fun mayPlace(
        job: JobId,
        nowMillis: Long,
    ): Boolean {
        val known = own[job] ?: return true
        if (nowMillis < blockedUntilMillis) return false
        val isYoung = known.isYoungAt(nowMillis)
        return others.values.all {
            isCleared(it, known, nowMillis) || (it.lostAtMillis == null && isYoung && nowMillis >= it.doubtUntilMillis)
        }
    }

    /** Time until the runs of the entry's own [job] have to be confirmed; null if they need no confirmation. */
    fun confirmWithinMillis(
        job: JobId,
        nowMillis: Long,
    ): Long? {
        val known = own[job] ?: return null
        if (isCleared(known, nowMillis)) return null
        return (known.openedAtMillis + timing.confirmedFromMillis - nowMillis).coerceAtLeast(0)
    }

    /** Whether the active runs of the entry's own [job] have to be stopped, as it has not been confirmed in time. */
    fun mustStop(
        job: JobId,
        nowMillis: Long,
    ): Boolean {
        val known = own[job] ?: return false
        val mayWait = nowMillis < known.doubtedAtMillis + OwnershipTiming.CONFIRMATION_MILLIS
        return !known.isYoungAt(nowMillis) && !mayWait && !isCleared(known, nowMillis)
    }

    /** Replaces the set of reachable entries; [entries] may name this one and earlier processes of an entry. */
    fun updateReachable(
        entries: Set<ProcessId>,
        nowMillis: Long,
    ) {
        val current = (entries - self).filterTo(HashSet()) { isLatestProcess(it, entries) }
        for (lost in reachableEntries - current) {
            others.getValue(lost).lostAtMillis = nowMillis
            foreign[lost]?.ownerLostAtMillis = nowMillis
        }
        val gained = current - reachableEntries
        if (gained.isNotEmpty()) {
            markDoubted(nowMillis)
            gained.forEach { others[it] = OtherEntry(doubtUntilMillis = nowMillis + OwnershipTiming.DOUBT_MILLIS) }
            gained.forEach { foreign[it]?.ownerLostAtMillis = null }
            isListChanged = true
        }
        others.values.removeIf { it.hasLostRuns(nowMillis) }
    }

    /**
     * Records that the first agent has connected. The agent may just have lost an entry that this one has not known of
     * yet, whose runs are being stopped.
     */
    fun onFirstAgent(nowMillis: Long) {
        blockedUntilMillis = nowMillis + OwnershipTiming.SETTLE_MILLIS
    }

    /**
     * Records that this process may have stood still: nothing that was confirmed before holds any more. Which entries are
     * reachable now may lie unread.
     */
    fun onStandstill(nowMillis: Long) {
        onReconnection(nowMillis)
        blockedUntilMillis = nowMillis + OwnershipTiming.SETTLE_MILLIS
    }

    /**
     * Records that an agent has connected again: it had given up this entry, and other entries may have too without being
     * noticed. Nothing that they confirmed before holds any more.
     */
    fun onReconnection(nowMillis: Long) {
        markDoubted(nowMillis)
        checkDueMillis = nowMillis
        own.values.forEach { it.announcedRound = null }
        others.values.forEach { it.doubtUntilMillis = nowMillis + OwnershipTiming.DOUBT_MILLIS }
    }

    /**
     * Returns the announcement to send to all reachable entries now; null if none is due.
     *
     * @param runsOf which runs of an own job there are.
     */
    fun nextAnnouncement(
        runsOf: (JobId) -> JobRuns,
        nowMillis: Long,
    ): OwnedJobs? {
        if (!isListChanged && nowMillis < checkDueMillis) return null
        checkDueMillis = nowMillis + OwnershipTiming.CHECK_MILLIS
        val new = own.values.filter { it.announcedRound == null && isAnnouncementDue(it, nowMillis) }
        if (new.isEmpty() && !isListChanged && !isRetryDue(nowMillis)) return null
        lastRound++
        new.forEach { it.announcedRound = lastRound }
        others.values.forEach { it.unansweredSinceMillis = it.unansweredSinceMillis ?: nowMillis }
        sentAtMillis = nowMillis
        isListChanged = false
        val announced = own.filterValues { it.announcedRound != null }.keys.toList()
        return OwnedJobs(lastRound, announced, announced.filterTo(HashSet()) { runsOf(it) == JobRuns.ACTIVE })
    }

    /** Whether [entry] has left earlier announcements unanswered. */
    fun isSilent(
        entry: ProcessId,
        nowMillis: Long,
    ): Boolean {
        val sinceMillis = others[entry]?.unansweredSinceMillis ?: return false
        return nowMillis - sinceMillis >= OwnershipTiming.RETRY_MILLIS
    }

    /** Makes an announcement due, since another entry seems to know an outdated one. */
    fun announceAgain() {
        isListChanged = true
    }

    /**
     * Confirms the announcement [announced] of the entry [from], except for jobs that this entry keeps itself. Returns
     * null if the announcement is older than the last one.
     *
     * @param runsOf which runs of an own job there are.
     */
    fun onAnnounced(
        from: ProcessId,
        announced: OwnedJobs,
        runsOf: (JobId) -> JobRuns,
        nowMillis: Long,
    ): Confirmation? {
        if (announced.round < (foreign[from]?.round ?: 0)) return null
        val hasPrecedence = PRECEDENCE.compare(self, from) < 0
        val (kept, yielded) =
            announced.jobs.filter { it in own }.partition { runsOf(it).prevail(it in announced.running, hasPrecedence) }
        kept.forEach { own.getValue(it).isDisputed = true }
        if (kept.isNotEmpty()) checkDueMillis = nowMillis
        foreign[from] = ForeignJobs(announced.round, announced.jobs - kept.toSet(), ownerLostAt(from, nowMillis))
        return Confirmation(announced.round, kept, yielded, yielded.all { runsOf(it) == JobRuns.NONE })
    }

    /** Records the answer of the entry [from] to an announcement; returns the own jobs that this entry must yield. */
    fun onConfirmed(
        from: ProcessId,
        round: Long,
        kept: List<JobId>,
        nowMillis: Long,
    ): List<JobId> {
        if (kept.isNotEmpty()) {
            val known = foreign.getOrPut(from) { ForeignJobs(0, emptyList(), ownerLostAt(from, nowMillis)) }
            known.jobs += kept
        }
        others[from]?.let {
            it.confirmedRound = maxOf(it.confirmedRound, round)
            it.unansweredSinceMillis = if (it.confirmedRound < lastRound) nowMillis else null
        }
        return kept.filter { it in own }
    }

    /** Returns the entry that owns [job] now; null if no other entry is known to. */
    fun ownerOf(
        job: JobId,
        nowMillis: Long,
    ): ProcessId? {
        foreign.values.removeIf { it.isOver(nowMillis) }
        return foreign.entries.firstOrNull { job in it.value.jobs }?.key
    }

    private fun markDoubted(nowMillis: Long) {
        own.values.filter { isCleared(it, nowMillis) }.forEach { it.doubtedAtMillis = nowMillis }
    }

    private fun isCleared(
        job: OwnJob,
        nowMillis: Long,
    ): Boolean = others.values.all { isCleared(it, job, nowMillis) }

    /**
     * Whether [entry] has no runs of [job]: it has confirmed that, or it was lost before any caller can have repeated
     * the job, or so long ago that its runs are over.
     */
    private fun isCleared(
        entry: OtherEntry,
        job: OwnJob,
        nowMillis: Long,
    ): Boolean {
        val hasConfirmed = job.announcedRound?.let { entry.confirmedRound >= it } ?: false
        val lostAtMillis = entry.lostAtMillis
        val wasLostBefore =
            lostAtMillis != null && job.isYoungAt(lostAtMillis) && lostAtMillis >= entry.doubtUntilMillis
        return hasConfirmed || wasLostBefore || entry.hasLostRuns(nowMillis)
    }

    private fun OwnJob.isYoungAt(millis: Long): Boolean = millis - openedAtMillis < timing.confirmedFromMillis

    private fun isAnnouncementDue(
        job: OwnJob,
        nowMillis: Long,
    ): Boolean =
        job.isDisputed ||
            nowMillis - job.openedAtMillis >= timing.announcedFromMillis ||
            isInDoubt(nowMillis)

    private fun isInDoubt(nowMillis: Long): Boolean =
        others.values.any { it.lostAtMillis == null && nowMillis < it.doubtUntilMillis }

    private fun isRetryDue(nowMillis: Long): Boolean {
        if (nowMillis - sentAtMillis < OwnershipTiming.RETRY_MILLIS) return false
        val needed = own.values.maxOfOrNull { it.announcedRound ?: 0 } ?: 0
        return others.values.any { it.lostAtMillis == null && it.confirmedRound < needed }
    }

    private fun ownerLostAt(
        entry: ProcessId,
        nowMillis: Long,
    ): Long? = if (entry in reachableEntries) null else nowMillis

    private fun isLatestProcess(
        entry: ProcessId,
        entries: Set<ProcessId>,
    ): Boolean = entries.none { it.name == entry.name && it.incarnation > entry.incarnation }

    private class OwnJob(
        val openedAtMillis: Long,
    ) {
        /** Round of the first announcement that confirmations have to cover; null if the job is not announced. */
        var announcedRound: Long? = null

        /** Time at which the confirmations of the job became void. */
        var doubtedAtMillis = openedAtMillis

        /** Whether another entry has announced the job too. */
        var isDisputed = false
    }

    private class OtherEntry(
        var doubtUntilMillis: Long,
    ) {
        var confirmedRound = 0L

        /** Time since which the entry has not answered; null if it has answered the last announcement. */
        var unansweredSinceMillis: Long? = null

        /** Time at which the entry went out of reach; null if it is reachable. */
        var lostAtMillis: Long? = null

        /** Whether its runs are over, since the agents of this entry have lost it. */
        fun hasLostRuns(nowMillis: Long): Boolean = areRunsOver(lostAtMillis, nowMillis)
    }

    private class ForeignJobs(
        val round: Long,
        jobs: Collection<JobId>,
        var ownerLostAtMillis: Long?,
    ) {
        val jobs = HashSet(jobs)

        /** Whether the runs of all jobs are over, since the agents of this entry have lost their owner. */
        fun isOver(nowMillis: Long): Boolean = areRunsOver(ownerLostAtMillis, nowMillis)
    }

    private companion object {
        val PRECEDENCE = compareBy<ProcessId>({ it.name }, { it.incarnation })

        fun areRunsOver(
            ownerLostAtMillis: Long?,
            nowMillis: Long,
        ): Boolean = ownerLostAtMillis?.let { nowMillis - it >= StepJobScheduler.RUNS_ENDED_AFTER_MILLIS } ?: false
    }
}
