package io.egretlock.entry

import io.egretlock.core.claim.ExportedClaim
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
 * Hands the claims of this entry over before a planned stop. One heir takes over all claims and claims new jobs at
 * once, while running jobs end here. The heir forwards resubmissions of a running job to this entry until it has ended.
 *
 * A handover has several parts. The first is empty and probes whether the heir answers. Only the last part makes the
 * heir take over. If the heir refuses, or does not answer a part before the last one, this entry claims jobs again and
 * may ask another member. A member that is leaving refuses. Of two leaving entries, only the one with the greater
 * identity asks the other again, so that they do not refuse each other forever.
 */
internal class HandoverCoordinator(
    private val self: EntryMember,
    private val roster: RosterTask,
    private val home: HomeTask,
    private val peers: PeerCalls,
    private val signal: HandoverSignal,
) {
    private var heir: EntryMember? = null
    private val excluded = mutableSetOf<ProcessId>()

    /**
     * Hands over to an heir. An entry that has just started may need a moment to become a member, so this entry waits
     * for one and claims jobs meanwhile. Without an heir, new jobs are refused from then on.
     */
    suspend fun begin() {
        heir = findHeir()
        if (heir == null) home.send(HomeInput.StopClaiming)
    }

    /** Sends the heir the claims of the jobs that have ended since [begin]; without an heir, leaves the roster. */
    suspend fun finish() {
        when (val chosen = heir) {
            null -> withTimeoutOrNull(LEAVE_TIMEOUT_MILLIS) { leaveAlone() }
            else -> sendAll(chosen, parts(chosen, claims(chosen).ended))
        }
    }

    private suspend fun findHeir(): EntryMember? {
        repeat(MAX_OFFERS) {
            val candidate = withTimeoutOrNull(HEIR_SEARCH_TIMEOUT_MILLIS) { awaitCandidate() } ?: return null
            val outcome = offer(candidate)
            if (outcome == OfferOutcome.ACCEPTED || outcome == OfferOutcome.IN_DOUBT) return candidate
            if (outcome == OfferOutcome.UNANSWERED || self.entry.precedes(candidate.entry)) excluded += candidate.entry
            delay(RETRY_DELAY_MILLIS)
        }
        return null
    }

    private suspend fun awaitCandidate(): EntryMember {
        var member = roster.reachableMember(excluded)
        while (member == null) {
            delay(CHECK_INTERVAL_MILLIS)
            member = roster.reachableMember(excluded)
        }
        return member
    }

    private suspend fun offer(candidate: EntryMember): OfferOutcome {
        signal.begin()
        val claims = claims(candidate)
        val outcome = handOver(candidate, claims)
        when (outcome) {
            OfferOutcome.ACCEPTED -> roster.sendAndAwait(RosterInput.Leave(candidate))
            OfferOutcome.REFUSED, OfferOutcome.UNANSWERED -> home.send(HomeInput.ResumeClaiming)
            OfferOutcome.IN_DOUBT -> Unit
        }
        signal.end()
        logger.event(
            outcome.event,
            "heir" to candidate.entry,
            "claims" to claims.ended.size,
            "running" to claims.running.size,
        )
        return outcome
    }

    private suspend fun handOver(
        candidate: EntryMember,
        claims: ExportedClaims,
    ): OfferOutcome {
        val probe = handover(candidate)
        val running = claims.running.chunked(CLAIMS_PER_MESSAGE).map { handover(candidate, running = it) }
        val outcome = sendAll(candidate, listOf(probe) + running + parts(candidate, claims.ended))
        return if (outcome == OfferOutcome.ACCEPTED) sendLast(candidate, claims.owners) else outcome
    }

    private suspend fun sendAll(
        heir: EntryMember,
        parts: List<(Long) -> Message>,
    ): OfferOutcome {
        for (part in parts) {
            val reply = peers.call(heir, CALL_TIMEOUT_MILLIS, part) as? HandoverReply
            if (reply?.heir != heir.entry) return OfferOutcome.UNANSWERED
            if (!reply.accepted) return OfferOutcome.REFUSED
        }
        return OfferOutcome.ACCEPTED
    }

    /** Sends the last part. Without an answer, the heir may have taken over, so only the same heir is asked again. */
    private suspend fun sendLast(
        heir: EntryMember,
        owners: Set<ProcessId>,
    ): OfferOutcome {
        val last = listOf(handover(heir, owners = owners))
        repeat(MAX_LAST_PART_ATTEMPTS) {
            val outcome = sendAll(heir, last)
            if (outcome != OfferOutcome.UNANSWERED) return outcome
        }
        return OfferOutcome.IN_DOUBT
    }

    private suspend fun leaveAlone() {
        roster.sendAndAwait(RosterInput.Leave(null))
        while (roster.view.isMember) delay(CHECK_INTERVAL_MILLIS)
    }

    private suspend fun claims(heir: EntryMember): ExportedClaims {
        val reply = CompletableDeferred<ExportedClaims>()
        home.send(HomeInput.HandOver(heir, reply))
        return reply.await()
    }

    private fun parts(
        heir: EntryMember,
        ended: List<ExportedClaim>,
    ) = HandoverParts.of(ended).map { handover(heir, ended = it) }

    private fun handover(
        heir: EntryMember,
        owners: Set<ProcessId> = emptySet(),
        ended: List<ExportedClaim> = emptyList(),
        running: List<RunningJob> = emptyList(),
    ): (Long) -> Message = { request -> ClaimHandover(request, self.entry, heir.entry, owners, ended, running) }

    private companion object {
        const val CLAIMS_PER_MESSAGE = 200
        const val CALL_TIMEOUT_MILLIS = 5_000L
        const val HEIR_SEARCH_TIMEOUT_MILLIS = 2_000L
        const val LEAVE_TIMEOUT_MILLIS = 3_000L
        const val CHECK_INTERVAL_MILLIS = 20L
        const val RETRY_DELAY_MILLIS = 50L
        const val MAX_OFFERS = 40
        const val MAX_LAST_PART_ATTEMPTS = 3
    }
}

private fun ProcessId.precedes(other: ProcessId): Boolean =
    compareValuesBy(this, other, { it.name }, { it.incarnation }) < 0
