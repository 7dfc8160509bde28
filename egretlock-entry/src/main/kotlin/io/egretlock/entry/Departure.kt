package io.egretlock.entry

import io.egretlock.core.claim.HandedClaim
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.RosterInput
import io.egretlock.process.event
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.HandoverReply
import io.egretlock.protocol.Message
import io.egretlock.protocol.RunningJob
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private val logger = KotlinLogging.logger {}

/**
 * A planned stop: one heir takes all claims over and claims new jobs at once, while running jobs end here. The heir sends
 * those who resubmit a running job to this entry until it has ended.
 *
 * A handover has several parts. The first is empty, and finds out whether the heir answers. Only the last one makes the
 * heir take over. Before the last part is sent, and after a refusal, this entry claims again and may ask another member.
 * A member that is leaving too refuses. Of two entries that leave, only the one with the greater identity asks the other
 * again, so that they do not refuse each other for ever.
 */
internal class Departure(
    private val self: EntryMember,
    private val roster: RosterTask,
    private val home: HomeTask,
    private val peers: PeerCalls,
    private val signal: HandoverSignal,
) {
    private var heir: EntryMember? = null
    private val excluded = mutableSetOf<ProcessId>()

    /**
     * Hands over to an heir. Another entry that has just started may need a moment to become a member; until then this
     * one goes on claiming. Where no heir appears, new jobs are refused from now on.
     */
    suspend fun begin() {
        heir = findHeir()
        if (heir == null) home.send(HomeInput.StopClaiming)
    }

    /** Gives the heir the claims of the jobs that have ended since, or leaves the last roster. */
    suspend fun finish() {
        when (val chosen = heir) {
            null -> withTimeoutOrNull(LEAVE_MILLIS) { leaveAlone() }
            else -> sendAll(chosen, parts(chosen, claims(chosen).ended))
        }
    }

    private suspend fun findHeir(): EntryMember? {
        repeat(MOST_OFFERS) {
            val candidate = withTimeoutOrNull(HEIR_MILLIS) { awaitCandidate() } ?: return null
            val end = offer(candidate)
            if (end == HandoverEnd.TAKEN || end == HandoverEnd.IN_DOUBT) return candidate
            if (end == HandoverEnd.UNANSWERED || self.entry.precedes(candidate.entry)) excluded += candidate.entry
            delay(RETRY_MILLIS)
        }
        return null
    }

    private suspend fun awaitCandidate(): EntryMember {
        var member = roster.reachableMember(excluded)
        while (member == null) {
            delay(CHECK_MILLIS)
            member = roster.reachableMember(excluded)
        }
        return member
    }

    private suspend fun offer(candidate: EntryMember): HandoverEnd {
        signal.begin()
        val claims = claims(candidate)
        val end = handOver(candidate, claims)
        when (end) {
            HandoverEnd.TAKEN -> roster.sendAndAwait(RosterInput.Leave(candidate))
            HandoverEnd.REFUSED, HandoverEnd.UNANSWERED -> home.send(HomeInput.ResumeClaiming)
            HandoverEnd.IN_DOUBT -> Unit
        }
        signal.end()
        logger.event(
            end.event,
            "heir" to candidate.entry,
            "claims" to claims.ended.size,
            "running" to claims.running.size,
        )
        return end
    }

    private suspend fun handOver(
        candidate: EntryMember,
        claims: ClaimsToHand,
    ): HandoverEnd {
        val probe = handover(candidate)
        val running = claims.running.chunked(CLAIMS_PER_MESSAGE).map { handover(candidate, running = it) }
        val end = sendAll(candidate, listOf(probe) + running + parts(candidate, claims.ended))
        return if (end == HandoverEnd.TAKEN) sendLast(candidate, claims.owners) else end
    }

    private suspend fun sendAll(
        heir: EntryMember,
        parts: List<(Long) -> Message>,
    ): HandoverEnd {
        for (part in parts) {
            val reply = peers.call(heir, CALL_MILLIS, part) as? HandoverReply
            if (reply?.heir != heir.entry) return HandoverEnd.UNANSWERED
            if (!reply.accepted) return HandoverEnd.REFUSED
        }
        return HandoverEnd.TAKEN
    }

    /** Without an answer to the last part, the heir may have taken over, so that only the same heir is asked again. */
    private suspend fun sendLast(
        heir: EntryMember,
        owners: Set<ProcessId>,
    ): HandoverEnd {
        val last = listOf(handover(heir, owners = owners))
        repeat(MOST_LAST_PARTS) {
            val end = sendAll(heir, last)
            if (end != HandoverEnd.UNANSWERED) return end
        }
        return HandoverEnd.IN_DOUBT
    }

    private suspend fun leaveAlone() {
        roster.sendAndAwait(RosterInput.Leave(null))
        while (roster.view.isMember) delay(CHECK_MILLIS)
    }

    private suspend fun claims(heir: EntryMember): ClaimsToHand {
        val reply = CompletableDeferred<ClaimsToHand>()
        home.send(HomeInput.HandOver(heir, reply))
        return reply.await()
    }

    private fun parts(
        heir: EntryMember,
        ended: List<HandedClaim>,
    ) = HandoverParts.of(ended).map { handover(heir, ended = it) }

    private fun handover(
        heir: EntryMember,
        owners: Set<ProcessId> = emptySet(),
        ended: List<HandedClaim> = emptyList(),
        running: List<RunningJob> = emptyList(),
    ): (Long) -> Message = { request -> ClaimHandover(request, self.entry, heir.entry, owners, ended, running) }

    private companion object {
        const val CLAIMS_PER_MESSAGE = 200
        const val CALL_MILLIS = 5_000L
        const val HEIR_MILLIS = 2_000L
        const val LEAVE_MILLIS = 3_000L
        const val CHECK_MILLIS = 20L
        const val RETRY_MILLIS = 50L
        const val MOST_OFFERS = 40
        const val MOST_LAST_PARTS = 3
    }
}

private fun ProcessId.precedes(other: ProcessId): Boolean =
    compareValuesBy(this, other, { it.name }, { it.incarnation }) < 0
