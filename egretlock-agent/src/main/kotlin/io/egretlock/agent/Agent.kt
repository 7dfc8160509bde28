package io.egretlock.agent

import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.gate.StartGate
import io.egretlock.core.job.ProcessId
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.process.event
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.Cancel
import io.egretlock.protocol.CreditRequest
import io.egretlock.protocol.CreditReturn
import io.egretlock.protocol.Reconcile
import io.egretlock.protocol.Revoke
import io.egretlock.protocol.RosterUpdate
import io.egretlock.protocol.SettingsApplied
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.Start
import io.egretlock.protocol.UpstreamUpdate
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.SendChannel

private val logger = KotlinLogging.logger {}

/**
 * State of an agent. Only the coroutine of [run] reads or changes it; other coroutines and threads send [commands].
 *
 * @property settings settings of the agent process.
 * @property dial starts an [EntryDialer] for an address unless one is running.
 * @property nowMillis monotonic time in milliseconds.
 */
internal class Agent(
    private val id: ProcessId,
    private val settings: AgentSettings,
    private val client: UpstreamClient,
    private val metrics: AgentMetrics,
    private val dial: (NodeAddress) -> Unit,
    private val nowMillis: () -> Long,
) {
    private val queue = Channel<AgentCommand>(Channel.UNLIMITED)
    private val gate = StartGate()
    private val ledger = SlotLedger()
    private val connections = EntryConnections()
    private val settingsReplica = SettingsReplica()
    private val upstream = UpstreamPresence(client, ledger, connections, { queue.trySend(it) }, nowMillis)
    private val runner =
        TaskRunner(
            gate,
            ledger,
            client,
            connections,
            metrics,
            { queue.trySend(it) },
            upstream::onConnectionRefused,
            nowMillis,
        )
    private var drainCompletion: CompletableDeferred<Unit>? = null
    private var rosters: List<Roster> = emptyList()

    /** Channel that takes commands to this agent. */
    val commands: SendChannel<AgentCommand>
        get() = queue

    /** Whether new tasks are accepted. */
    @Volatile
    var ready: Boolean = true
        private set

    /** Handles commands until cancelled. */
    suspend fun run() {
        settings.entries.forEach(dial)
        for (command in queue) {
            handle(command)
            completeDrain()
        }
    }

    private fun handle(command: AgentCommand) {
        when (command) {
            is DialRequested -> command.reply.complete(permissionToDial(command.address))
            is EntryConnected -> onEntryConnected(command)
            is EntryMessage -> if (connections.isCurrent(command.connection)) receive(command)
            is EntryDisconnected -> onEntryDisconnected(command.connection)
            is UpstreamAnnounced -> command.accepted.complete(onUpstreamAnnounced(command.announcement))
            is UpstreamLeft -> onUpstreamLeft(command.runningTasks)
            is CallEnded -> runner.onCallEnded(command)
            is StopEnded -> runner.onStopEnded()
            is ProbeEnded -> upstream.onProbeEnded(command)
            is Tick -> onTick()
            is DrainRequested -> drain(command.done)
            is DumpRequested -> command.reply.complete(dump())
        }
    }

    private fun permissionToDial(address: NodeAddress): DialPermission =
        when {
            address !in wantedAddresses() -> DialPermission.Stop
            connections.isConnectedElsewhere(address) -> DialPermission.Wait
            else -> DialPermission.Dial(hello())
        }

    private fun hello() = AgentHello(id, settings.failureDomain, upstream.reported, settingsReplica.revisions)

    private fun wantedAddresses(): Set<NodeAddress> =
        settings.entries.toSet() + rosters.flatMap { roster -> roster.members.map { it.address } }

    private fun onEntryConnected(command: EntryConnected) {
        val connection = command.connection
        logger.event(AgentEvent.ENTRY_CONNECTED, "entry" to connection.entry, "address" to connection.address)
        connections.put(connection)?.let { closeReplaced(it, connection) }
        onWelcome(command)
    }

    private fun closeReplaced(
        earlier: EntryConnection,
        connection: EntryConnection,
    ) {
        earlier.link.close()
        connections.send(ledger.removeEntry(connection.entry))
        if (earlier.address == connection.address) return
        logger.event(AgentEvent.ENTRY_REDUNDANT, "entry" to earlier.entry, "address" to earlier.address)
    }

    private fun onWelcome(command: EntryConnected) {
        val entry = command.connection.entry
        if (command.hello.announcement != upstream.reported) connections.send(entry, UpstreamUpdate(upstream.reported))
        learnRosters(command.welcome.rosters)
        val applied = applySettings(command.welcome.settings)
        val newer = settingsReplica.newerThan(command.welcome.settings)
        if (newer.isNotEmpty()) connections.send(entry, SettingsUpdate(newer))
        if (!applied) connections.send(entry, SettingsApplied(settingsReplica.revisions))
        runner.onEntryConnected(entry)
        connections.send(ledger.addEntry(entry))
    }

    private fun onEntryDisconnected(connection: EntryConnection) {
        if (!connections.isCurrent(connection)) return
        logger.event(AgentEvent.ENTRY_DISCONNECTED, "entry" to connection.entry, "address" to connection.address)
        connections.remove(connection.entry)
        connections.send(ledger.removeEntry(connection.entry))
    }

    private fun receive(command: EntryMessage) {
        val entry = command.connection.entry
        when (val message = command.message) {
            is Start -> runner.start(entry, message, upstream.announcement)
            is Acknowledge -> runner.acknowledge(entry, message)
            is Revoke -> runner.revoke(entry, message)
            is Reconcile -> runner.reconcile(entry, message)
            is Cancel -> runner.cancel(message.task)
            is CreditRequest -> connections.send(ledger.recordRequest(entry, message.wanted))
            is CreditReturn -> connections.send(ledger.recordReturn(entry, message.count))
            is RosterUpdate -> learnRosters(message.rosters)
            is SettingsUpdate -> applySettings(message.settings)
            else -> logger.debug { "Ignored a message that agents do not handle: ${message.javaClass.simpleName}" }
        }
    }

    private fun learnRosters(received: List<Roster>) {
        val newest = received.maxOfOrNull { it.version } ?: return
        if (newest < (rosters.maxOfOrNull { it.version } ?: 0)) return
        rosters = received
        connections.retainAddresses(wantedAddresses())
        wantedAddresses().forEach(dial)
    }

    /** Applies newer settings and reports their revisions to all entries; returns whether there were any. */
    private fun applySettings(received: List<StoredTeamSettings>): Boolean {
        val changed = settingsReplica.apply(received)
        if (changed.isEmpty()) return false
        changed.forEach { logger.event(AgentEvent.SETTINGS_APPLIED, "team" to it.team, "revision" to it.revision) }
        connections.sendAll(SettingsApplied(settingsReplica.revisions))
        return true
    }

    private fun onUpstreamAnnounced(announcement: UpstreamAnnouncement): Boolean {
        if (drainCompletion != null) return false
        upstream.onAnnounced(announcement)
        return true
    }

    private fun onUpstreamLeft(runningTasks: CompletableDeferred<Int>) {
        upstream.onLeft()
        runningTasks.complete(runner.runningCount)
    }

    private fun drain(done: CompletableDeferred<Unit>) {
        logger.event(AgentEvent.DRAINING)
        ready = false
        drainCompletion = done
        upstream.onLeft()
    }

    private fun onTick() {
        gate.expire(nowMillis())
        connections.send(ledger.recallForStarvedEntries())
        upstream.onTick()
        metrics.observe(gate, ledger, connections.all.size)
    }

    private fun completeDrain() {
        val done = drainCompletion ?: return
        if (runner.runningCount == 0 && gate.unacknowledged.none { isExpected(it.owner) }) done.complete(Unit)
    }

    /** Whether an entry is connected or may connect again: the newest roster lists it, or no roster is known. */
    private fun isExpected(entry: ProcessId): Boolean {
        val newest = rosters.maxByOrNull { it.version } ?: return true
        return connections[entry] != null || newest.members.any { it.entry == entry }
    }

    private fun dump(): AgentDump =
        AgentDump(
            agent = id,
            failureDomain = settings.failureDomain,
            draining = drainCompletion != null,
            upstream = upstream.announcement,
            upstreamReachable = upstream.reachable,
            slots = ledger.slots,
            runningTasks = gate.running.map { it.toString() },
            unacknowledgedTasks = gate.unacknowledged.map { it.attempt.task.toString() },
            rememberedTasks = gate.size,
            entries = connections.all.map { EntryDump(it.entry, it.address, ledger.grantedTo(it.entry)) },
            dialledAddresses = wantedAddresses().toList(),
            rosters = rosters,
            settings = settingsReplica.all,
        )
}
