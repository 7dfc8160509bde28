package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.JobOwnership
import io.egretlock.core.run.JobRuns
import io.egretlock.process.event
import io.egretlock.protocol.JobsAnnounced
import io.egretlock.protocol.JobsConfirmed
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Exchanges with the other entries which of them owns which job: sends the announcements of [ownership] and answers
 * those of others. Used by the coroutine that owns the jobs.
 */
internal class OwnershipExchange(
    private val ownership: JobOwnership,
    private val standstill: StandstillDetector,
    private val links: EntryLinks = EntryLinks(),
) {
    /** Entries that this one or an agent of it is connected to. */
    val reachableEntries: Set<ProcessId>
        get() = ownership.reachableEntries

    /** Sends [message] to [entry] over the best connection. */
    fun send(
        entry: ProcessId,
        message: Message,
    ) = links.send(entry, message)

    /** Records a direct connection to another entry. */
    fun onPeerConnected(
        entry: ProcessId,
        link: Link,
        nowMillis: Long,
    ) {
        links.onConnected(entry, link)
        updateReachable(nowMillis)
    }

    /** Records the end of a direct connection to another entry. */
    fun onPeerLost(
        entry: ProcessId,
        link: Link,
        nowMillis: Long,
    ) {
        links.onDisconnected(entry, link)
        updateReachable(nowMillis)
    }

    /** Records which entries the agent at the other end of [link] is connected to. */
    fun onAgentReported(
        link: Link,
        entries: List<ProcessId>,
        nowMillis: Long,
    ) {
        if (!links.hasAgents) ownership.onFirstAgent(nowMillis)
        links.onReported(link, entries)
        updateReachable(nowMillis)
    }

    /** Records the end of a connection to an agent. */
    fun onAgentLost(
        link: Link,
        nowMillis: Long,
    ) {
        links.onAgentLost(link)
        updateReachable(nowMillis)
    }

    /** Checks whether the process stood still since the last call. */
    fun checkStandstill(nowMillis: Long) {
        if (!standstill.check()) return
        logger.event(RunEntryEvent.STOOD_STILL)
        ownership.onStandstill(nowMillis)
    }

    /** Sends an announcement if one is due; [runsOf] tells which runs of an own job there are. */
    fun announce(
        runsOf: (JobId) -> JobRuns,
        nowMillis: Long,
    ) {
        val owned = ownership.nextAnnouncement(runsOf, nowMillis) ?: return
        for (entry in ownership.reachableEntries) {
            val isSilent = ownership.isSilent(entry, nowMillis)
            links.send(entry, JobsAnnounced(owned), mayBeCut = isSilent)
            if (isSilent) links.check(entry)
        }
    }

    /** Answers an announcement of [entry]; returns the own jobs that this entry has to give up. */
    fun onAnnounced(
        entry: ProcessId,
        message: JobsAnnounced,
        runsOf: (JobId) -> JobRuns,
        nowMillis: Long,
    ): List<JobId> {
        val confirmation = ownership.onAnnounced(entry, message.owned, runsOf, nowMillis) ?: return emptyList()
        if (confirmation.isComplete) {
            val answer = JobsConfirmed(confirmation.round, confirmation.kept)
            links.send(entry, answer, mayBeCut = ownership.isSilent(entry, nowMillis))
        }
        return confirmation.yielded
    }

    /** Records an answer of [entry]; returns the own jobs that this entry has to give up. */
    fun onConfirmed(
        entry: ProcessId,
        message: JobsConfirmed,
        nowMillis: Long,
    ): List<JobId> = ownership.onConfirmed(entry, message.round, message.kept, nowMillis)

    private fun updateReachable(nowMillis: Long) {
        val before = ownership.reachableEntries.toSet()
        ownership.updateReachable(links.reachable, nowMillis)
        if (ownership.reachableEntries != before) {
            logger.event(RunEntryEvent.ENTRIES_CHANGED, "entries" to ownership.reachableEntries.sortedBy { it.name })
        }
    }
}
