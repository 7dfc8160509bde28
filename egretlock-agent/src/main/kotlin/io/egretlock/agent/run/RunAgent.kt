package io.egretlock.agent.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.ProcessId
import io.egretlock.core.run.ConnectedEntry
import io.egretlock.core.run.EntryPreference
import io.egretlock.core.run.FencingToken
import io.egretlock.core.run.LedgerEffect
import io.egretlock.core.run.RenewalResult
import io.egretlock.core.run.ReportPacing
import io.egretlock.core.run.RunId
import io.egretlock.core.run.RunLedger
import io.egretlock.core.run.StartAnswer
import io.egretlock.core.run.StopAnswer
import io.egretlock.core.run.UpstreamOrders
import io.egretlock.core.run.UpstreamReport
import io.egretlock.process.event
import io.egretlock.protocol.CheckEntry
import io.egretlock.protocol.ConfirmRuns
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.Relayed
import io.egretlock.protocol.RunEnded
import io.egretlock.protocol.StartRuns
import io.egretlock.protocol.StopRun
import io.egretlock.protocol.UpstreamReported
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/**
 * Starts runs on the upstream of its instance for any number of entries.
 *
 * One coroutine owns the [RunLedger] and receives all events as [RunAgentInput]s. Each call to the upstream runs in a
 * separate coroutine, whose result arrives as a [RunAgentInput] too.
 */
internal class RunAgent(
    private val orders: UpstreamOrders,
    private val scope: CoroutineScope,
    private val fence: FencingToken,
    private val name: String,
    private val failureDomain: FailureDomain,
    private val nowMillis: () -> Long,
) {
    private val inbox = Channel<RunAgentInput>(Channel.UNLIMITED)
    private val ledger = RunLedger()
    private val entries = LinkedHashMap<Link, EntryState>()
    private var lastReport: UpstreamReport? = null
    private var preferredEntry: ProcessId? = null
    private val entryLists = EntryLists()

    private val connectedEntries: Map<Link, ProcessId>
        get() = entries.mapValues { it.value.entry }
    private var isTickScheduled = false
    private var upstreamStartedAtMillis: Long? = null

    /** Runs with a call to stop that has not ended; a further call would wait for a connection behind it. */
    private val unansweredStops = HashSet<RunId>()

    /** Number of runs that have not ended. */
    val runCount: Int
        get() = ledger.runs.size

    /** Enqueues [input] for the coroutine that owns the ledger. */
    fun tell(input: RunAgentInput) {
        inbox.trySend(input)
    }

    /** Processes inputs until cancelled. */
    suspend fun run() {
        renewAfter(0)
        for (input in inbox) {
            handle(input)
            var next = inbox.tryReceive().getOrNull()
            while (next != null) {
                handle(next)
                next = inbox.tryReceive().getOrNull()
            }
            markBusyLinks()
            val hasListPending = entryLists.sendIfDue(nowMillis()) { connectedEntries }
            val hasReportPending = report()
            if (hasListPending || hasReportPending || ledger.runs.size > 0) scheduleTick()
        }
    }

    /** Schedules the next tick, unless one is scheduled. An idle agent has none, which saves processor time. */
    private fun scheduleTick() {
        if (isTickScheduled) return
        isTickScheduled = true
        scope.launch {
            delay(TICK_MILLIS)
            tell(RunAgentInput.Tick)
        }
    }

    private fun markBusyLinks() {
        val busyEntries = ledger.runs.entries
        for ((link, state) in entries) if (state.entry in busyEntries) link.markBusy()
    }

    private fun handle(input: RunAgentInput) {
        val now = nowMillis()
        when (input) {
            is RunAgentInput.EntryConnected -> onConnected(input)
            is RunAgentInput.EntryMessage -> onMessage(input.link, input.message, now)
            is RunAgentInput.EntryLost -> onDisconnected(input.link, now)
            is RunAgentInput.HeartbeatReceived -> {
                ledger.onHeartbeat(input.status)
                raiseTokenAfterRestart()
            }
            is RunAgentInput.UpstreamDeregistered -> {
                logger.event(RunAgentEvent.UPSTREAM_CHANGED, "upstream" to input.name, "state" to "left")
                ledger.onDeregistration(input.name)
            }
            is RunAgentInput.StartAnswered -> onStartAnswered(input, now)
            is RunAgentInput.StopAnswered -> onStopAnswered(input)
            is RunAgentInput.RenewalEnded -> onRenewalEnded(input, now)
            RunAgentInput.Tick -> {
                isTickScheduled = false
                perform(ledger.tick(now))
            }
            RunAgentInput.Drain -> ledger.drain()
        }
    }

    private fun onConnected(input: RunAgentInput.EntryConnected) {
        entries[input.link] = EntryState(input.entry)
        onEntriesChanged()
        entryLists.sendFirst(input.link, connectedEntries)
        logger.event(RunAgentEvent.ENTRY_CONNECTED, "entry" to input.entry.entry)
    }

    private fun onEntriesChanged() {
        preferredEntry = EntryPreference.preferred(name, failureDomain, entries.values.map { it.connectedEntry })
        entryLists.markChanged()
    }

    private fun onMessage(
        link: Link,
        message: Message,
        now: Long,
    ) {
        val state = entries[link] ?: return
        when (message) {
            is StartRuns -> onOrdered(link, state, message, now)
            is StopRun -> perform(ledger.onStopRequested(message.run, now))
            is ConfirmRuns -> ledger.runs.confirm(state.entry, message.job)
            is CheckEntry -> linkOf(message.entry)?.markBusy()
            is Relayed -> linkOf(message.peer)?.send(Relayed(state.entry, message.message))
            else -> logger.debug { "Ignored a message that agents do not handle: $message" }
        }
    }

    private fun onOrdered(
        link: Link,
        state: EntryState,
        message: StartRuns,
        now: Long,
    ) {
        val order = message.order
        val ageMillis = message.heardHeartbeat?.let(link::millisSinceHeartbeat) ?: 0
        logger.event(
            RunAgentEvent.RUN_ORDERED,
            "job" to order.job,
            "home" to state.entry,
            "runs" to order.runs.joinToString(" ") { "${it.step}.${it.index}#${it.number}" },
            "ageMillis" to ageMillis,
        )
        state.seenSequence = order.sequence
        state.pacing.requestReport()
        perform(ledger.onOrder(state.entry, order, ageMillis, now))
    }

    private fun onDisconnected(
        link: Link,
        now: Long,
    ) {
        val state = entries.remove(link) ?: return
        onEntriesChanged()
        logger.event(RunAgentEvent.ENTRY_LOST, "entry" to state.entry)
        if (entries.values.none { it.entry == state.entry }) perform(ledger.onEntryLost(state.entry, now))
    }

    private fun onStartAnswered(
        input: RunAgentInput.StartAnswered,
        now: Long,
    ) {
        if (input.answer == StartAnswer.FENCED) onFenced(input.fencingToken)
        perform(ledger.onStartAnswered(input.run, input.answer, now))
    }

    private fun onStopAnswered(input: RunAgentInput.StopAnswered) {
        if (input.answer == StopAnswer.FENCED) onFenced(input.fencingToken)
        ledger.onStopAnswered(input.run, input.answer == StopAnswer.ACKNOWLEDGED)
    }

    private fun onRenewalEnded(
        input: RunAgentInput.RenewalEnded,
        now: Long,
    ) {
        var delayMillis = 0L
        when (val result = input.result) {
            is RenewalResult.Answered -> {
                val effects = ledger.onRenewalAnswered(input.number, result.answer, now)
                raiseTokenAfterRestart()
                perform(effects)
            }
            RenewalResult.Fenced -> onFenced(input.fencingToken)
            RenewalResult.Unanswered -> {
                onRenewalFailed(isConnectionRefused = false, now)
                delayMillis = RETRY_MILLIS
            }
            RenewalResult.ConnectionRefused -> {
                onRenewalFailed(isConnectionRefused = true, now)
                delayMillis = REFUSED_RETRY_MILLIS
            }
        }
        renewAfter(delayMillis)
    }

    private fun renewAfter(delayMillis: Long) {
        scope.launch {
            if (delayMillis > 0) delay(delayMillis)
            val token = fence.value
            val number = ledger.startRenewal()
            val result =
                orders.renew(
                    ledger.renewalDeadlineClockMillis(nowMillis()),
                    ledger.lastEnd,
                    ledger.renewalWaitMillis,
                    token,
                )
            tell(RunAgentInput.RenewalEnded(number, result, token))
        }
    }

    private fun onFenced(token: Long) {
        fence.onRefused(token)
        logger.event(RunAgentEvent.FENCED, "refused" to token, "next" to fence.value)
    }

    /** Makes the upstream refuse orders that were meant for its earlier incarnation and are still on their way. */
    private fun raiseTokenAfterRestart() {
        val startedAtMillis = ledger.upstreamStartedAtMillis
        if (upstreamStartedAtMillis != null && startedAtMillis != upstreamStartedAtMillis) fence.onPossibleRestart()
        upstreamStartedAtMillis = startedAtMillis
    }

    /**
     * Raises the token when the upstream stops answering, so that an incarnation that starts meanwhile gets the higher
     * token with the first call that it answers.
     */
    private fun onRenewalFailed(
        isConnectionRefused: Boolean,
        now: Long,
    ) {
        if (ledger.isUpstreamAnswering) fence.onPossibleRestart()
        perform(ledger.onRenewalFailed(isConnectionRefused, now))
    }

    private fun perform(effects: List<LedgerEffect>) {
        for (effect in effects) {
            when (effect) {
                is LedgerEffect.Start -> start(effect)
                is LedgerEffect.Stop -> stop(effect)
                is LedgerEffect.ReportEnd -> reportRunEnd(effect)
                LedgerEffect.Disconnect -> disconnect()
            }
        }
    }

    private fun start(effect: LedgerEffect.Start) {
        val token = fence.value
        scope.launch {
            val isDue = { ledger.isStartDue(effect.run, nowMillis()) }
            val deadline = effect.deadlineClockMillis
            val answer = orders.start(effect.run, effect.specification, deadline, token, effect.upstream, isDue)
            tell(RunAgentInput.StartAnswered(effect.run, answer, token))
        }
    }

    private fun stop(effect: LedgerEffect.Stop) {
        if (!unansweredStops.add(effect.run)) return
        val token = fence.value
        if (effect.run !in ledger.runs) logger.event(RunAgentEvent.UNKNOWN_RUN, "run" to effect.run, "token" to token)
        scope.launch {
            val answer = orders.stop(effect.run, token)
            unansweredStops -= effect.run
            tell(RunAgentInput.StopAnswered(effect.run, answer, token))
        }
    }

    private fun reportRunEnd(effect: LedgerEffect.ReportEnd) {
        logger.event(
            RunAgentEvent.RUN_ENDED,
            "run" to effect.run,
            "home" to effect.entry,
            "end" to effect.end,
            "cause" to effect.cause,
            "ms" to effect.runMillis.toLong(),
            "answerAgeMillis" to nowMillis() - ledger.answeredAtMillis,
            "otherRuns" to ledger.runs.entriesOf(effect.run.task).takeIf { it.isNotEmpty() },
        )
        val link = linkOf(effect.entry) ?: return
        entries.getValue(link).pacing.requestReport()
        link.send(RunEnded(effect.run, effect.end, effect.runMillis))
    }

    /** Returns the latest connection to [entry]; null if there is none. */
    private fun linkOf(entry: ProcessId): Link? = entries.entries.lastOrNull { it.value.entry == entry }?.key

    private fun disconnect() {
        logger.event(RunAgentEvent.PROCESS_PAUSED, "entries" to entries.size)
        val now = nowMillis()
        entries.keys.toList().forEach { link ->
            link.close()
            onDisconnected(link, now)
        }
    }

    /** Sends the reports that are due; returns whether a changed report waits to be sent. */
    private fun report(): Boolean {
        val report = ledger.report()
        if (report?.copy(free = lastReport?.free ?: report.free, speed = 0.0) != lastReport?.copy(speed = 0.0)) {
            logger.event(RunAgentEvent.UPSTREAM_CHANGED, "report" to report)
        }
        lastReport = report
        val now = nowMillis()
        val preferredReport = report?.copy(isPreferred = true)
        var isPending = false
        for ((link, state) in entries) {
            val entryReport = if (state.entry == preferredEntry) preferredReport else report
            when (state.pacing.next(entryReport, state.seenSequence, entries.size, now)) {
                ReportPacing.Next.SEND -> link.send(UpstreamReported(entryReport, state.seenSequence))
                ReportPacing.Next.WAIT -> isPending = true
                ReportPacing.Next.UNCHANGED -> Unit
            }
        }
        return isPending
    }

    private class EntryState(
        val connectedEntry: ConnectedEntry,
    ) {
        val entry: ProcessId = connectedEntry.entry
        val pacing = ReportPacing()
        var seenSequence = 0L
    }

    private companion object {
        const val TICK_MILLIS = 50L

        /** Delay before the next renewal after one without an answer. */
        const val RETRY_MILLIS = 10L

        /**
         * Delay before the next renewal while connections to the upstream are refused. A late order may reach its next
         * incarnation for as long before the higher token does.
         */
        const val REFUSED_RETRY_MILLIS = 20L
    }
}
