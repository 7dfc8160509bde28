package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Handover
import io.egretlock.core.roster.Roster
import io.egretlock.core.roster.RosterHistory
import io.egretlock.core.roster.RosterInput
import io.egretlock.core.roster.RosterOutput
import io.egretlock.core.roster.RosterStateMachine
import io.egretlock.core.roster.RosterView
import io.egretlock.process.event
import io.egretlock.process.launchEssential
import io.egretlock.protocol.HistoryUpdate
import io.egretlock.protocol.JoinRequest
import io.egretlock.protocol.Message
import io.egretlock.protocol.PromiseReply
import io.egretlock.protocol.PromiseRequest
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/**
 * The task that owns a [RosterStateMachine]: passes it store reads, messages from peers and ticks, and executes its
 * outputs.
 *
 * @property nowMillis clock in milliseconds since the epoch.
 */
internal class RosterTask(
    private val self: EntryMember,
    private val stateMachine: RosterStateMachine,
    private val store: RosterStore,
    private val network: RosterNetwork,
    private val scope: CoroutineScope,
    private val nowMillis: () -> Long,
) : JobLocator {
    private val reachable = ConcurrentHashMap.newKeySet<ProcessId>()
    private val inputs = Channel<Command>(Channel.UNLIMITED)

    /** The current view of the rosters. */
    @Volatile
    var view: RosterView = stateMachine.view
        private set

    /** The newest rosters, oldest first, whose members agents must connect to. */
    val newestRosters: List<Roster>
        get() =
            view.history
                ?.rosters
                .orEmpty()
                .takeLast(CONNECTED_ROSTERS)

    /** Other members of the newest roster. */
    val otherMembers: List<EntryMember>
        get() =
            view.history
                ?.newest
                ?.members
                .orEmpty()
                .filter { it.entry != self.entry }

    /** A random other member that is reachable, has not handed over and is not [excluded]; null if there is none. */
    fun reachableMember(excluded: Set<ProcessId>): EntryMember? {
        val left =
            view.history
                ?.handovers
                .orEmpty()
                .map { it.from }
        return otherMembers.filter { it.entry in reachable - excluded && it.entry !in left }.randomOrNull()
    }

    /** Queues an input. */
    fun send(input: RosterInput) {
        inputs.trySend(Command(input, null))
    }

    /** Records that this entry has taken over all claims of [owners] from [leaver]. Returns once [view] shows it. */
    suspend fun inherit(
        owners: Set<ProcessId>,
        leaver: ProcessId,
    ) = sendAndAwait(RosterInput.ClaimsInherited(owners, Handover(leaver, self)))

    /** Queues an input and waits until [view] reflects it. */
    suspend fun sendAndAwait(input: RosterInput) {
        val done = CompletableDeferred<Unit>()
        inputs.trySend(Command(input, done))
        done.await()
    }

    /** Handles inputs until cancelled. */
    suspend fun run() {
        scope.launch { tick() }
        for ((input, done) in inputs) {
            recordReachability(input)
            val outputs = stateMachine.accept(input, nowMillis())
            view = stateMachine.view
            done?.complete(Unit)
            outputs.forEach(::carryOut)
            if (input is RosterInput.PeerReachable) sendHistory(input)
        }
    }

    override fun locate(
        id: JobId,
        createdAtMillis: Long,
    ): JobLocation = JobLocations.of(view.homeOf(id, createdAtMillis, nowMillis()), nowMillis())

    private fun recordReachability(input: RosterInput) {
        when (input) {
            is RosterInput.PeerReachable -> reachable += input.entry
            is RosterInput.PeerUnreachable -> reachable -= input.entry
            else -> Unit
        }
    }

    private suspend fun tick() {
        while (true) {
            send(RosterInput.Tick)
            delay(TICK_INTERVAL_MILLIS)
        }
    }

    private fun carryOut(output: RosterOutput) {
        when (output) {
            is RosterOutput.ReadStore ->
                scope.launchEssential(logger, EntryEvent.COROUTINE_FAILED) { send(store.read()) }
            is RosterOutput.Publish -> scope.launchEssential(logger, EntryEvent.COROUTINE_FAILED) { publish(output) }
            is RosterOutput.RequestPromises ->
                output.members.forEach { network.tell(it, PromiseRequest(output.question)) }
            is RosterOutput.SendPromise ->
                otherMembers
                    .firstOrNull { it.entry == output.question.asker }
                    ?.let { network.tell(it, PromiseReply(self.entry, output.question)) }
            is RosterOutput.BroadcastHistory -> announce(output.history)
            is RosterOutput.RequestJoin -> network.tell(output.member, JoinRequest(self))
        }
    }

    private suspend fun publish(output: RosterOutput.Publish) {
        store.publish(output)
        send(RosterInput.PublicationEnded)
    }

    private fun announce(history: RosterHistory) {
        network.rostersChanged(history)
        otherMembers.forEach { network.tell(it, HistoryUpdate(history)) }
        logger.event(
            EntryEvent.ROSTER_ADOPTED,
            "version" to history.newest.version,
            "members" to history.newest.members.size,
            "effectiveFrom" to history.newest.effectiveFromMillis,
        )
    }

    private fun sendHistory(input: RosterInput.PeerReachable) {
        val history = view.history ?: return
        otherMembers.firstOrNull { it.entry == input.entry }?.let { network.tell(it, HistoryUpdate(history)) }
    }

    private data class Command(
        val input: RosterInput,
        val done: CompletableDeferred<Unit>?,
    )

    private companion object {
        const val TICK_INTERVAL_MILLIS = 100L
        const val CONNECTED_ROSTERS = 2
    }
}

/** Connections as a [RosterTask] uses them. */
internal interface RosterNetwork {
    /** Sends another entry a message that has no reply; it is dropped while the entry is not connected. */
    fun tell(
        member: EntryMember,
        message: Message,
    )

    /** A new roster or handover has become known. */
    fun rostersChanged(history: RosterHistory)
}
