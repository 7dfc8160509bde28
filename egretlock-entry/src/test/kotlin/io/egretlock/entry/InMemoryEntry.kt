package io.egretlock.entry

import io.egretlock.core.home.Home
import io.egretlock.core.home.ServiceDispatchers
import io.egretlock.core.job.Job
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.RosterHistory
import io.egretlock.core.roster.RosterInput
import io.egretlock.core.roster.RosterStateMachine
import io.egretlock.core.roster.RosterTiming
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.HandoverReply
import io.egretlock.protocol.Message
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.launch

/** An entry without sockets: its home, its roster and its handover. */
internal class InMemoryEntry(
    val self: EntryMember,
    peers: PeerCalls,
    private val scope: CoroutineScope,
) {
    private val home =
        HomeTask(self, Home(ServiceDispatchers { fairDispatcher(it) }), EntryMetrics(PrometheusRegistry())) { 0 }
    private val store = RosterStore(UnavailableStore, System::currentTimeMillis)
    private val stateMachine = RosterStateMachine(self, RosterTiming())
    val roster = RosterTask(self, stateMachine, store, DiscardingNetwork, scope, System::currentTimeMillis)
    val coordinator = HandoverCoordinator(self, roster, home, peers, HandoverSignal())

    suspend fun start(history: RosterHistory) {
        scope.launch { home.run() }
        scope.launch { roster.run() }
        roster.sendAndAwait(RosterInput.HistoryReceived(history))
        roster.otherMembers.forEach { roster.sendAndAwait(RosterInput.PeerReachable(it.entry)) }
    }

    suspend fun submit(job: Job): SubmitReply {
        val reply = CompletableDeferred<SubmitReply>()
        home.send(HomeInput.Submit(job, 1, reply))
        return reply.await()
    }

    suspend fun receive(part: ClaimHandover): HandoverReply {
        val reply = CompletableDeferred<Boolean>()
        home.send(HomeInput.Inherit(part, reply))
        val accepted = reply.await()
        if (accepted && part.owners.isNotEmpty()) roster.inherit(part.owners, part.sender)
        return HandoverReply(part.request, self.entry, accepted)
    }

    private object UnavailableStore : KeyValueStore {
        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot = throw StoreException("absent")

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult = throw StoreException("absent")

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> = emptyFlow()
    }

    private object DiscardingNetwork : RosterNetwork {
        override fun tell(
            member: EntryMember,
            message: Message,
        ) = Unit

        override fun rostersChanged(history: RosterHistory) = Unit
    }
}
