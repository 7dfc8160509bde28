package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.run.AgentRooms
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobEffect
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
import io.egretlock.core.run.StepJobScheduler
import io.egretlock.process.event
import io.egretlock.protocol.Link
import io.egretlock.protocol.RunAgentHello
import io.egretlock.protocol.RunEnded
import io.egretlock.protocol.StartRuns
import io.egretlock.protocol.StopRun
import io.egretlock.protocol.UpstreamReported
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select

private val logger = KotlinLogging.logger {}

/**
 * Accepts jobs, dispatches their tasks as runs to agents, and answers the callers.
 *
 * One coroutine owns the [StepJobScheduler] and receives all events as [RunEntryInput]s.
 */
internal class RunEntry(
    policies: StepJobPolicies,
    private val nowMillis: () -> Long,
    epochSeconds: () -> Int,
) {
    private val inbox = Channel<RunEntryInput>(Channel.UNLIMITED)
    private val rooms = AgentRooms()
    private val scheduler = StepJobScheduler(rooms, policies, epochSeconds)
    private val links = HashMap<ProcessId, Link>()
    private val agents = HashMap<Link, RunAgentHello>()
    private val waiters = HashMap<JobId, MutableList<CompletableDeferred<StepJobOutcome>>>()

    /** Number of jobs without an answer so far. */
    val activeJobCount: Int
        get() = scheduler.activeJobs.size

    /** Number of agents that report an upstream. */
    val agentCount: Int
        get() = rooms.all.size

    /** Enqueues [input] for the coroutine that owns the jobs. */
    fun tell(input: RunEntryInput) {
        inbox.trySend(input)
    }

    /** Submits a job and waits for its outcome; cancellation means that the caller has left. */
    suspend fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
    ): StepJobOutcome {
        val answer = CompletableDeferred<StepJobOutcome>()
        tell(RunEntryInput.Submitted(job, queue, patienceMillis, answer))
        try {
            return answer.await()
        } catch (cancelled: CancellationException) {
            tell(RunEntryInput.CallerLeft(job.id, answer))
            throw cancelled
        }
    }

    /** Whether [job] has started; null if this entry does not hold it. */
    fun hasStarted(job: JobId): Boolean? = scheduler.find(job)?.hasStarted

    /** Number of jobs of [queue] that have not started. */
    fun waitingCount(queue: String): Int = scheduler.waitingCount(queue)

    /** Processes inputs until cancelled. */
    suspend fun run() {
        while (true) {
            val input = nextInput()
            perform(scheduler.batch(nowMillis) { handleWithQueued(input) })
        }
    }

    /** Handles [input] and the inputs that are queued behind it. */
    private fun handleWithQueued(input: RunEntryInput) {
        var next: RunEntryInput? = input
        while (next != null) {
            handle(next)
            next = inbox.tryReceive().getOrNull()
        }
    }

    /**
     * Returns the next input, or a tick if none arrives in time. Ticks occur only while jobs are active, so that an
     * idle entry uses no processor time. The timeout is a clause of the select: `withTimeout` around the receive call
     * could expire at the instant of an arrival and lose the input that was already taken from the inbox.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextInput(): RunEntryInput =
        select {
            inbox.onReceive { it }
            if (scheduler.activeJobs.isNotEmpty()) onTimeout(TICK_MILLIS) { RunEntryInput.Tick }
        }

    private fun handle(input: RunEntryInput) {
        val now = nowMillis()
        when (input) {
            is RunEntryInput.Submitted -> onSubmitted(input, now)
            is RunEntryInput.CallerLeft -> onCallerLeft(input, now)
            is RunEntryInput.Cancelled -> perform(scheduler.cancel(input.job, now))
            is RunEntryInput.AgentConnected -> onConnected(input, now)
            is RunEntryInput.AgentMessage -> onMessage(input, now)
            is RunEntryInput.AgentLost -> onDisconnected(input.link, now)
            is RunEntryInput.QueuesChanged -> scheduler.retainQueues(input.names)
            RunEntryInput.Tick -> perform(scheduler.tick(now))
        }
    }

    private fun onSubmitted(
        input: RunEntryInput.Submitted,
        now: Long,
    ) {
        val id = input.job.id
        val isResubmission = scheduler.find(id) != null
        val event = if (isResubmission) RunEntryEvent.JOB_RESUBMITTED else RunEntryEvent.JOB_ACCEPTED
        logger.event(
            event,
            "job" to id,
            "queue" to input.queue.name,
            "tasks" to input.job.steps.sumOf { it.taskCount },
            "estimate" to input.job.criticalPathMillis.toLong(),
            "patience" to input.patienceMillis,
        )
        waiters.getOrPut(id) { mutableListOf() } += input.answer
        perform(scheduler.submit(input.job, input.queue, input.patienceMillis, now))
    }

    private fun onCallerLeft(
        input: RunEntryInput.CallerLeft,
        now: Long,
    ) {
        val remaining = waiters[input.job] ?: return
        remaining.remove(input.answer)
        if (remaining.isNotEmpty()) return
        waiters.remove(input.job)
        logger.event(RunEntryEvent.JOB_ABANDONED, "job" to input.job)
        perform(scheduler.abandon(input.job, now))
    }

    /**
     * Replaces the agent's earlier connection, if there is one. An agent reconnects only after it has given up that
     * connection and stopped the runs ordered over it. This entry may not have noticed the loss yet, since the silence
     * may have begun later on its side.
     */
    private fun onConnected(
        input: RunEntryInput.AgentConnected,
        now: Long,
    ) {
        val agent = input.hello.agent
        links[agent]?.let { earlier ->
            earlier.close()
            onDisconnected(earlier, now, hasReconnected = true)
        }
        scheduler.onAgentConnected(agent, now)
        agents[input.link] = input.hello
        links[agent] = input.link
        logger.event(RunEntryEvent.AGENT_CONNECTED, "agent" to agent)
    }

    private fun onMessage(
        input: RunEntryInput.AgentMessage,
        now: Long,
    ) {
        val hello = agents[input.link] ?: return
        when (val message = input.message) {
            is UpstreamReported -> onReported(hello, message, now)
            is RunEnded -> onRunEnded(hello.agent, message, now)
            else -> logger.debug { "Ignored a message from an agent that entries do not handle: $message" }
        }
    }

    private fun onReported(
        hello: RunAgentHello,
        message: UpstreamReported,
        now: Long,
    ) {
        val report = message.report
        val known = rooms[hello.agent]?.report
        if (known?.accepting != report?.accepting || known?.upstream != report?.upstream) {
            logger.event(RunEntryEvent.AGENT_CHANGED, "agent" to hello.agent, "report" to report)
        }
        if (report == null) {
            rooms.removeUpstream(hello.agent)
        } else {
            perform(scheduler.onAgentReported(hello.agent, hello.failureDomain, report, message.seenSequence, now))
        }
    }

    private fun onRunEnded(
        agent: ProcessId,
        message: RunEnded,
        now: Long,
    ) {
        logger.event(RunEntryEvent.RUN_ENDED, "run" to message.run, "agent" to agent.name, "end" to message.end)
        perform(scheduler.onRunEnded(agent, message.run, message.end, message.runMillis, now))
    }

    private fun onDisconnected(
        link: Link,
        now: Long,
        hasReconnected: Boolean = false,
    ) {
        val hello = agents.remove(link) ?: return
        links.remove(hello.agent)
        logger.event(RunEntryEvent.AGENT_LOST, "agent" to hello.agent, "hasReconnected" to hasReconnected)
        perform(scheduler.onAgentLost(hello.agent, now, hasReconnected))
    }

    private fun perform(effects: List<StepJobEffect>) {
        for (effect in effects) {
            when (effect) {
                is StepJobEffect.Start -> start(effect)
                is StepJobEffect.Stop -> stop(effect)
                is StepJobEffect.Answer -> answer(effect)
            }
        }
    }

    private fun start(effect: StepJobEffect.Start) {
        val order = effect.order
        logger.event(
            RunEntryEvent.RUNS_ORDERED,
            "job" to order.job,
            "agent" to effect.agent.name,
            "runs" to order.runs.joinToString(" ") { "${it.step}.${it.index}#${it.number}" },
        )
        val link = links[effect.agent] ?: return
        link.markBusy()
        link.send(StartRuns(order, link.lastReceivedHeartbeat))
    }

    private fun stop(effect: StepJobEffect.Stop) {
        logger.event(RunEntryEvent.RUN_STOPPED, "run" to effect.run, "agent" to effect.agent.name)
        links[effect.agent]?.send(StopRun(effect.run))
    }

    private fun answer(effect: StepJobEffect.Answer) {
        val outcome = effect.outcome
        val verdict = (outcome as? StepJobOutcome.GivenUp)?.verdict
        logger.event(
            RunEntryEvent.JOB_ANSWERED,
            "job" to effect.job,
            "outcome" to if (verdict == null) outcome else verdict.javaClass.simpleName,
            "reason" to verdict?.reason,
            "detail" to verdict?.detail,
            "retryAfterMillis" to (verdict as? Verdict.NotRun)?.retryAfterMillis,
        )
        waiters.remove(effect.job)?.forEach { it.complete(outcome) }
    }

    companion object {
        /** Longest time between two checks of the jobs that wait. */
        const val TICK_MILLIS = 10L

        /** Refusal of requests that arrive too late in the drain. */
        val DRAINING_REFUSAL =
            StepJobOutcome.GivenUp(Verdict.NotRun(Reason.DRAINING, "This entry is about to end.", retryAfterMillis = 1))
    }
}
