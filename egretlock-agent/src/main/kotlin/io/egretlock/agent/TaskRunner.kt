package io.egretlock.agent

import io.egretlock.core.gate.OwnedAnswer
import io.egretlock.core.gate.SlotLedger
import io.egretlock.core.gate.StartDecision
import io.egretlock.core.gate.StartGate
import io.egretlock.core.gate.TaskAttempt
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TaskOutcome
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.UpstreamAnnouncement
import io.egretlock.process.event
import io.egretlock.protocol.Acknowledge
import io.egretlock.protocol.Finished
import io.egretlock.protocol.Reconcile
import io.egretlock.protocol.ReconcileReply
import io.egretlock.protocol.Revoke
import io.egretlock.protocol.RevokeReply
import io.egretlock.protocol.Start
import io.egretlock.protocol.StartRefused
import io.github.oshai.kotlinlogging.KotlinLogging

private val logger = KotlinLogging.logger {}

/**
 * Starts tasks on the upstream and sends their answers to the entries. Accessed only by the coroutine of the [Agent].
 *
 * @property nowMillis monotonic time in milliseconds.
 */
internal class TaskRunner(
    private val gate: StartGate,
    private val ledger: SlotLedger,
    private val client: UpstreamClient,
    private val connections: EntryConnections,
    private val metrics: AgentMetrics,
    private val send: (AgentCommand) -> Unit,
    private val onConnectionRefused: (UpstreamAnnouncement) -> Unit,
    private val nowMillis: () -> Long,
) {
    private val calls = HashMap<TaskId, RunningCall>()
    private val stops = StopQueue(client, metrics) { send(StopEnded) }

    /** Number of tasks that the upstream is running. */
    val runningCount: Int
        get() = calls.size

    /** Starts a task on [upstream] if a credit of [entry] allows it and the task has not been started before. */
    fun start(
        entry: ProcessId,
        message: Start,
        upstream: UpstreamAnnouncement?,
    ) {
        val slotTaken = ledger.spendCredit(entry)
        val decision = decide(entry, message, slotTaken && upstream != null)
        if (decision == StartDecision.ADMITTED && upstream != null) return call(entry, message, upstream)
        if (slotTaken) connections.send(ledger.releaseSlot(entry, reusable = false).actions)
        if (decision == StartDecision.REFUSED) refuse(entry, message.attempt) else ignore(entry, message.attempt)
    }

    private fun decide(
        entry: ProcessId,
        message: Start,
        possible: Boolean,
    ): StartDecision {
        if (possible && message.remainingMillis > 0) return gate.start(entry, message.attempt, nowMillis())
        val started = gate.revoke(message.attempt, nowMillis())
        return if (started) StartDecision.DUPLICATE else StartDecision.REFUSED
    }

    private fun call(
        entry: ProcessId,
        message: Start,
        upstream: UpstreamAnnouncement,
    ) {
        val task = message.attempt.task
        val startedAtMillis = nowMillis()
        calls[task] = RunningCall(entry, message.attempt, upstream)
        metrics.countStart()
        client.run(upstream, task, message.specification, message.remainingMillis) { end ->
            send(CallEnded(task, end, nowMillis() - startedAtMillis))
        }
    }

    private fun refuse(
        entry: ProcessId,
        attempt: TaskAttempt,
    ) {
        logger.event(AgentEvent.START_REFUSED, "entry" to entry, "task" to attempt.task)
        metrics.countRefusal()
        connections.send(entry, StartRefused(attempt))
    }

    private fun ignore(
        entry: ProcessId,
        attempt: TaskAttempt,
    ) {
        logger.event(AgentEvent.DUPLICATE_START, "entry" to entry, "task" to attempt.task)
        metrics.countDuplicate()
    }

    /** Handles the end of a call to the upstream. */
    fun onCallEnded(ended: CallEnded) {
        val call = calls.remove(ended.task) ?: return
        stops.remove(ended.task)
        when (val end = ended.end) {
            is CallEnd.NotStarted -> onNotStarted(call)
            is CallEnd.Ended -> onTaskEnded(call, end.outcome, ended.runMillis)
        }
    }

    /** Requests the upstream to stop a task whose answer is no longer needed, if it is still running. */
    fun cancel(task: TaskId) {
        calls[task]?.let { stops.add(task, it.upstream) }
    }

    /** Handles the end of a request to stop a task. */
    fun onStopEnded() = stops.onStopEnded()

    private fun onNotStarted(call: RunningCall) {
        onConnectionRefused(call.upstream)
        gate.markNotStarted(call.attempt.task, nowMillis())
        refuse(call.entry, call.attempt)
        connections.send(ledger.releaseSlot(call.entry, reusable = false).actions)
    }

    private fun onTaskEnded(
        call: RunningCall,
        outcome: TaskOutcome,
        runMillis: Long,
    ) {
        val answer = gate.finish(call.attempt.task, outcome, runMillis, nowMillis())
        if (outcome is TaskOutcome.Ended) {
            onMissingAnswer(call, outcome.verdict)
        }
        metrics.countEnd(outcome)
        val slot = ledger.releaseSlot(call.entry, reusable = answer?.owner == call.entry)
        if (answer != null) deliver(answer, slot.isRegranted)
        connections.send(slot.actions)
    }

    private fun onMissingAnswer(
        call: RunningCall,
        verdict: Verdict,
    ) {
        logger.event(AgentEvent.TASK_WITHOUT_ANSWER, "task" to call.attempt.task, "verdict" to verdict)
        if (verdict !is Verdict.MayHaveRun) return
        client.dropIdleConnections()
        stops.add(call.attempt.task, call.upstream)
    }

    /** Drops the answers that [entry] has acknowledged. */
    fun acknowledge(
        entry: ProcessId,
        message: Acknowledge,
    ) = gate.acknowledge(entry, message.tasks, nowMillis())

    /** Revokes an attempt and replies whether it had already started. */
    fun revoke(
        entry: ProcessId,
        message: Revoke,
    ) {
        val started = gate.revoke(message.attempt, nowMillis())
        connections.send(entry, RevokeReply(message.attempt, started))
    }

    /** Replies with the states of attempts, then sends the answers of those that ended. */
    fun reconcile(
        entry: ProcessId,
        message: Reconcile,
    ) {
        connections.send(entry, ReconcileReply(gate.reconcile(entry, message.attempts, nowMillis())))
        gate.answers(entry, message.attempts).forEach { deliver(it, credit = false) }
    }

    /** Sends the answers that [entry] has not acknowledged, and stops the tasks of its earlier incarnations. */
    fun onEntryConnected(entry: ProcessId) {
        gate.supersedeEarlierIncarnations(entry, nowMillis()).forEach(::cancel)
        gate.unacknowledged.filter { it.owner == entry }.forEach { deliver(it, credit = false) }
    }

    private fun deliver(
        answer: OwnedAnswer,
        credit: Boolean,
    ) = connections.send(answer.owner, Finished(answer.attempt.task, answer.outcome, answer.runMillis, credit))

    private data class RunningCall(
        val entry: ProcessId,
        val attempt: TaskAttempt,
        val upstream: UpstreamAnnouncement,
    )
}
