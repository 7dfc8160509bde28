package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.run.AgentRooms
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobEffect
import io.egretlock.core.run.StepJobHome
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
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
 * Takes jobs, has their tasks run by agents, and answers them.
 *
 * One coroutine owns the [StepJobHome] and gets everything that happens as a [RunEntryInput].
 */
internal class RunEntry(
    policies: StepJobPolicies,
    private val nowMillis: () -> Long,
    epochSeconds: () -> Int,
) {
    private val inbox = Channel<RunEntryInput>(Channel.UNLIMITED)
    private val rooms = AgentRooms()
    private val home = StepJobHome(rooms, policies, epochSeconds)
    private val links = HashMap<ProcessId, Link>()
    private val agents = HashMap<Link, RunAgentHello>()
    private val waiters = HashMap<JobId, MutableList<CompletableDeferred<StepJobOutcome>>>()

    /** Number of jobs that are not answered yet. */
    val heldCount: Int
        get() = home.held.size

    /** Number of agents with an upstream. */
    val agentCount: Int
        get() = rooms.all.size

    /** Passes on what happened. */
    fun tell(input: RunEntryInput) {
        inbox.trySend(input)
    }

    /** Submits a job and waits for its answer; a cancelled call counts as a caller who left. */
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

    /** Whether [job] has begun; null if it is not held. */
    fun hasStarted(job: JobId): Boolean? = home.find(job)?.hasStarted

    /** Number of jobs of [queue] that have not begun. */
    fun waiting(queue: String): Int = home.waiting(queue)

    /** Runs until cancelled. */
    suspend fun run() {
        while (true) {
            val input = nextInput()
            handle(input)
            var next = inbox.tryReceive().getOrNull()
            while (next != null) {
                handle(next)
                next = inbox.tryReceive().getOrNull()
            }
        }
    }

    /**
     * Ticks come only while jobs are held, so that an idle entry uses no processor. They are a choice beside the inbox
     * and not a timeout around it: a timeout in the instant of an arrival takes the input from the inbox and drops it.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextInput(): RunEntryInput =
        select {
            inbox.onReceive { it }
            if (home.held.isNotEmpty()) onTimeout(TICK_MILLIS) { RunEntryInput.Tick }
        }

    private fun handle(input: RunEntryInput) {
        val now = nowMillis()
        when (input) {
            is RunEntryInput.Submitted -> submitted(input, now)
            is RunEntryInput.CallerLeft -> callerLeft(input, now)
            is RunEntryInput.Cancelled -> perform(home.cancel(input.job, now))
            is RunEntryInput.AgentConnected -> connected(input, now)
            is RunEntryInput.AgentMessage -> received(input, now)
            is RunEntryInput.AgentLost -> lost(input.link, now)
            is RunEntryInput.QueuesChanged -> home.retainQueues(input.names)
            RunEntryInput.Tick -> perform(home.tick(now))
        }
    }

    private fun submitted(
        input: RunEntryInput.Submitted,
        now: Long,
    ) {
        val id = input.job.id
        val isJoined = home.find(id) != null
        val event = if (isJoined) RunEntryEvent.JOB_JOINED else RunEntryEvent.JOB_TAKEN
        logger.event(
            event,
            "job" to id,
            "queue" to input.queue.name,
            "tasks" to input.job.steps.sumOf { it.taskCount },
            "estimate" to input.job.longestChainMillis.toLong(),
            "patience" to input.patienceMillis,
        )
        waiters.getOrPut(id) { mutableListOf() } += input.answer
        perform(home.submit(input.job, input.queue, input.patienceMillis, now))
    }

    private fun callerLeft(
        input: RunEntryInput.CallerLeft,
        now: Long,
    ) {
        val others = waiters[input.job] ?: return
        others.remove(input.answer)
        if (others.isNotEmpty()) return
        waiters.remove(input.job)
        logger.event(RunEntryEvent.JOB_ABANDONED, "job" to input.job)
        perform(home.abandon(input.job, now))
    }

    /**
     * An agent opens a connection only when it has given up the one before, and has stopped the runs ordered over it. The
     * loss of that one may not have been noticed here, where it can be silent for longer.
     */
    private fun connected(
        input: RunEntryInput.AgentConnected,
        now: Long,
    ) {
        val agent = input.hello.agent
        links[agent]?.let { earlier ->
            earlier.close()
            lost(earlier, now)
        }
        home.agentConnected(agent, now)
        agents[input.link] = input.hello
        links[agent] = input.link
        logger.event(RunEntryEvent.AGENT_CONNECTED, "agent" to agent)
    }

    private fun received(
        input: RunEntryInput.AgentMessage,
        now: Long,
    ) {
        val hello = agents[input.link] ?: return
        when (val message = input.message) {
            is UpstreamReported -> reported(hello, message, now)
            is RunEnded -> ended(hello.agent, message, now)
            else -> logger.debug { "Message that is not for entries: $message" }
        }
    }

    private fun reported(
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
            rooms.withdraw(hello.agent)
        } else {
            perform(home.agentReported(hello.agent, hello.failureDomain, report, message.seenSequence, now))
        }
    }

    private fun ended(
        agent: ProcessId,
        message: RunEnded,
        now: Long,
    ) {
        logger.event(RunEntryEvent.RUN_ENDED, "run" to message.run, "agent" to agent.name, "end" to message.end)
        perform(home.runEnded(agent, message.run, message.end, message.runMillis, now))
    }

    private fun lost(
        link: Link,
        now: Long,
    ) {
        val hello = agents.remove(link) ?: return
        links.remove(hello.agent)
        logger.event(RunEntryEvent.AGENT_LOST, "agent" to hello.agent)
        perform(home.agentLost(hello.agent, now))
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
        links[effect.agent]?.send(StartRuns(order))
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
        /** Longest time between two looks at the jobs that wait. */
        const val TICK_MILLIS = 10L

        /** Refusal of requests that come while the entry is about to end. */
        val LEAVING =
            StepJobOutcome.GivenUp(Verdict.NotRun(Reason.DRAINING, "This entry is about to end.", retryAfterMillis = 1))
    }
}
