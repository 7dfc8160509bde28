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
 */
internal class Departure(
    private val self: EntryMember,
    private val roster: RosterTask,
    private val home: HomeTask,
    private val peers: PeerConnections,
    private val signal: HandoverSignal,
) {
    private var heir: EntryMember? = null

    /**
     * Hands over to an heir. Another entry that has just started may need a moment to become a member; until then this
     * one goes on claiming. Where no heir appears, new jobs are refused from now on.
     */
    suspend fun begin() {
        val chosen = withTimeoutOrNull(HEIR_MILLIS) { awaitReachableMember() }
        heir = chosen
        if (chosen == null) {
            home.send(HomeInput.StopClaiming)
            return
        }
        signal.begin()
        val claims = claims(chosen)
        val owners = roster.view.inherited + self.entry
        val parts = claims.running.chunked(CLAIMS_PER_MESSAGE).map { handover(emptyList(), it) } + parts(claims.ended)
        val accepted = sendAll(chosen, parts + handover(emptyList(), emptyList(), owners))
        if (accepted) roster.sendAndAwait(RosterInput.Leave(chosen))
        signal.end()
        val event = if (accepted) EntryEvent.HANDED_OVER else EntryEvent.HANDOVER_FAILED
        logger.event(event, "heir" to chosen.entry, "claims" to claims.ended.size, "running" to claims.running.size)
    }

    /** Gives the heir the claims of the jobs that have ended since, or leaves the last roster. */
    suspend fun finish() {
        when (val chosen = heir) {
            null -> withTimeoutOrNull(LEAVE_MILLIS) { leaveAlone() }
            else -> sendAll(chosen, parts(claims(chosen).ended))
        }
    }

    private suspend fun awaitReachableMember(): EntryMember {
        var member = roster.reachableMember()
        while (member == null) {
            delay(CHECK_MILLIS)
            member = roster.reachableMember()
        }
        return member
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

    private fun parts(ended: List<HandedClaim>) = ended.chunked(CLAIMS_PER_MESSAGE).map { handover(it, emptyList()) }

    private fun handover(
        ended: List<HandedClaim>,
        running: List<RunningJob>,
        owners: Set<ProcessId> = emptySet(),
    ): (Long) -> Message = { request -> ClaimHandover(request, self.entry, owners, ended, running) }

    private suspend fun sendAll(
        heir: EntryMember,
        parts: List<(Long) -> Message>,
    ): Boolean = parts.all { part -> (peers.call(heir, CALL_MILLIS, part) as? HandoverReply)?.accepted == true }

    private companion object {
        const val CLAIMS_PER_MESSAGE = 200
        const val CALL_MILLIS = 5_000L
        const val HEIR_MILLIS = 2_000L
        const val LEAVE_MILLIS = 3_000L
        const val CHECK_MILLIS = 20L
    }
}
