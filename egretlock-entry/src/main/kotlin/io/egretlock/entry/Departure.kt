package io.egretlock.entry

import io.egretlock.core.claim.HandedClaim
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.RosterInput
import io.egretlock.process.event
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.HandoverReply
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull

private val logger = KotlinLogging.logger {}

/** The last part of a planned stop: hands all claims to one heir and waits until the roster is without this entry. */
internal class Departure(
    private val self: EntryMember,
    private val roster: RosterTask,
    private val home: HomeTask,
    private val peers: PeerConnections,
) {
    /** Leaves. All jobs must have ended. */
    suspend fun leave() {
        val heir = roster.reachableMember()
        val claims = claims()
        roster.send(RosterInput.Leave(heir))
        if (heir != null) handOver(heir, claims)
        withTimeoutOrNull(LEAVE_MILLIS) { awaitRemoval() }
    }

    private suspend fun claims(): List<HandedClaim> {
        val reply = CompletableDeferred<List<HandedClaim>>()
        home.send(HomeInput.HandOver(reply))
        return reply.await()
    }

    private suspend fun handOver(
        heir: EntryMember,
        claims: List<HandedClaim>,
    ) {
        val parts = claims.chunked(CLAIMS_PER_MESSAGE)
        val owners = roster.view.inherited + self.entry
        val accepted = parts.all { send(heir, emptySet(), it) } && send(heir, owners, emptyList())
        val event = if (accepted) EntryEvent.HANDED_OVER else EntryEvent.HANDOVER_FAILED
        logger.event(event, "heir" to heir.entry, "claims" to claims.size)
    }

    private suspend fun send(
        heir: EntryMember,
        owners: Set<ProcessId>,
        part: List<HandedClaim>,
    ): Boolean {
        val reply = peers.call(heir, CALL_MILLIS) { request -> ClaimHandover(request, owners, part) }
        return (reply as? HandoverReply)?.accepted == true
    }

    private suspend fun awaitRemoval() {
        while (roster.view.isMember) delay(CHECK_MILLIS)
    }

    private companion object {
        const val CLAIMS_PER_MESSAGE = 200
        const val CALL_MILLIS = 5_000L
        const val LEAVE_MILLIS = 3_000L
        const val CHECK_MILLIS = 20L
    }
}
