package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.run.AgentRooms
import io.egretlock.core.run.JobOwnership
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.OwnershipTiming
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobEffect
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
import io.egretlock.core.run.StepJobScheduler
import io.egretlock.process.event
import io.egretlock.protocol.CancelJob
import io.egretlock.protocol.ConfirmRuns
import io.egretlock.protocol.ConnectedEntries
import io.egretlock.protocol.JobsAnnounced
import io.egretlock.protocol.JobsConfirmed
import io.egretlock.protocol.JoinJob
import io.egretlock.protocol.JoinedJobEnded
import io.egretlock.protocol.LeaveJob
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.Relayed
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
    identity: ProcessId,
    policies: StepJobPolicies,
    private val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
    timing: OwnershipTiming = OwnershipTiming(),
) {
    private val inbox = Channel<RunEntryInput>(Channel.UNLIMITED)
    private val rooms = AgentRooms()
    private val ownership = JobOwnership(identity, timing)
    private val exchange = OwnershipExchange(ownership, StandstillDetector(nowMillis, wallMillis))
    private val scheduler = StepJobScheduler(rooms, policies, { (wallMillis() / MILLIS_PER_SECOND).toInt() }, ownership)
    private val joinedJobs = JoinedJobs()
    private val cancelledJobs = CancelledJobs()
    private val links = HashMap<ProcessId, Link>()
    private val agents = HashMap<Link, RunAgentHello>()

    /** Incarnations of the agents that have connected, by name. */
    private val seenAgents = HashMap<String, Long>()
    private val waiters = HashMap<JobId, MutableList<CompletableDeferred<StepJobOutcome>>>()

    /** Number of jobs without an answer so far. */
    val activeJobCount: Int
        get() = scheduler.activeJobs.size + joinedJobs.size

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

    /** Whether [job] has started; null if neither this nor another entry is known to work on it. */
    fun hasStarted(job: JobId): Boolean? =
        scheduler.find(job)?.hasStarted ?: ownership.ownerOf(job, nowMillis())?.let { true }

    /** Number of jobs of [queue] that have not started. */
    fun waitingCount(queue: String): Int = scheduler.waitingCount(queue)

    /** Processes inputs until cancelled. */
    suspend fun run() {
        while (true) {
            val input = nextInput()
            exchange.checkStandstill(nowMillis())
            perform(scheduler.batch(nowMillis) { handleWithQueued(input) })
            exchange.announce({ scheduler.runsOf(it, nowMillis()) }, nowMillis())
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
     * Returns the next input, or a tick if none arrives in time. Ticks are rarer while no jobs are active, so that an
     * idle entry uses little processor time. The timeout is a clause of the select: `withTimeout` around the receive call
     * could expire at the instant of an arrival and lose the input that was already taken from the inbox.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun nextInput(): RunEntryInput =
        select {
            inbox.onReceive { it }
            onTimeout(if (activeJobCount > 0) TICK_MILLIS else StandstillDetector.INTERVAL_MILLIS) {
                RunEntryInput.Tick
            }
        }

    private fun handle(input: RunEntryInput) {
        val now = nowMillis()
        when (input) {
            is RunEntryInput.Submitted -> onSubmitted(input, now)
            is RunEntryInput.CallerLeft -> onCallerLeft(input, now)
            is RunEntryInput.Cancelled -> onCancelled(input.job, now)
            is RunEntryInput.AgentConnected -> onConnected(input, now)
            is RunEntryInput.AgentMessage -> onMessage(input, now)
            is RunEntryInput.AgentLost -> onDisconnected(input.link, now)
            is RunEntryInput.QueuesChanged -> scheduler.retainQueues(input.names)
            is RunEntryInput.PeerConnected ->
                onReachabilityChanged(
                    now,
                ) { onPeerConnected(input.entry, input.link, now) }
            is RunEntryInput.PeerLost -> onReachabilityChanged(now) { onPeerLost(input.entry, input.link, now) }
            is RunEntryInput.PeerMessage -> onPeerMessage(input.entry, input.message, now)
            RunEntryInput.Tick -> {
                perform(scheduler.tick(now))
                startReleasedJobs(now)
            }
        }
    }

    private fun onSubmitted(
        input: RunEntryInput.Submitted,
        now: Long,
    ) {
        val id = input.job.id
        val owner = ownership.ownerOf(id, now).takeIf { scheduler.find(id) == null }
        if (owner != null) return join(owner, input, now)
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
        ownership.ownerOf(input.job, now)?.let { exchange.send(it, LeaveJob(input.job)) }
        joinedJobs.remove(input.job)
        abandonIfUnwanted(input.job, now)
    }

    private fun onCancelled(
        job: JobId,
        now: Long,
    ) {
        val owner = ownership.ownerOf(job, now)
        when {
            scheduler.find(job) != null -> perform(scheduler.cancel(job, now))
            owner != null -> exchange.send(owner, CancelJob(job))
            else -> cancelledJobs.add(job, now)
        }
    }

    /** Stops a job that no caller waits for, here or at another entry. */
    private fun abandonIfUnwanted(
        job: JobId,
        now: Long,
    ) {
        if (job in waiters || joinedJobs.hasJoiners(job)) return
        logger.event(RunEntryEvent.JOB_ABANDONED, "job" to job)
        perform(scheduler.abandon(job, now))
    }

    /** Lets the callers wait for the answer of [owner], which works on the job already. */
    private fun join(
        owner: ProcessId,
        input: RunEntryInput.Submitted,
        now: Long,
    ) {
        val id = input.job.id
        logger.event(RunEntryEvent.JOB_JOINED, "job" to id, "owner" to owner, "patience" to input.patienceMillis)
        waiters.getOrPut(id) { mutableListOf() } += input.answer
        joinedJobs.add(JoinedJob(input.job, input.queue, input.patienceMillis?.let { now + it }))
        exchange.send(owner, JoinJob(id))
    }

    /** Gives up a job that [owner] works on too; the callers wait for the answer of [owner]. */
    private fun yieldTo(
        owner: ProcessId,
        id: JobId,
        now: Long,
    ) {
        val active = scheduler.find(id) ?: return
        logger.event(RunEntryEvent.JOB_YIELDED, "job" to id, "owner" to owner)
        perform(scheduler.abandon(id, now))
        joinedJobs.removeJoiners(id)
        if (id !in waiters) return
        joinedJobs.add(JoinedJob(active.job, active.queue, active.giveUpAtMillis))
        exchange.send(owner, JoinJob(id))
    }

    /** Starts joined jobs whose owner has given them up or is lost, and gives up those whose callers' time is over. */
    private fun startReleasedJobs(now: Long) {
        for (joined in joinedJobs.all) {
            val id = joined.job.id
            val remainingMillis = joined.giveUpAtMillis?.let { it - now }
            if (remainingMillis != null && remainingMillis <= 0) {
                val verdict = Verdict.MayHaveRun(Reason.DEADLINE, "The caller's time is over.")
                answer(StepJobEffect.Answer(id, StepJobOutcome.GivenUp(verdict)))
            } else if (ownership.ownerOf(id, now) == null) {
                joinedJobs.remove(id)
                logger.event(RunEntryEvent.JOIN_ENDED, "job" to id, "patience" to remainingMillis)
                perform(scheduler.submit(joined.job, joined.queue, remainingMillis, now))
            }
        }
    }

    private fun onReachabilityChanged(
        now: Long,
        change: OwnershipExchange.() -> Unit,
    ) {
        exchange.change()
        joinedJobs.retainJoiners(exchange.reachableEntries).forEach { abandonIfUnwanted(it, now) }
        perform(scheduler.onOwnershipChanged(now))
    }

    private fun onPeerMessage(
        entry: ProcessId,
        message: Message,
        now: Long,
    ) {
        when (message) {
            is JobsAnnounced -> {
                val yielded = exchange.onAnnounced(entry, message, { scheduler.runsOf(it, now) }, now)
                yielded.forEach { yieldTo(entry, it, now) }
                cancelledJobs.among(message.owned.jobs, now).forEach { exchange.send(entry, CancelJob(it)) }
            }
            is CancelJob -> perform(scheduler.cancel(message.job, now))
            is JobsConfirmed -> {
                exchange.onConfirmed(entry, message, now).forEach { yieldTo(entry, it, now) }
                perform(scheduler.onOwnershipChanged(now))
            }
            is JoinJob ->
                if (scheduler.find(message.job) == null) {
                    ownership.announceAgain()
                } else {
                    joinedJobs.addJoiner(message.job, entry)
                }
            is LeaveJob -> {
                joinedJobs.removeJoiner(message.job, entry)
                abandonIfUnwanted(message.job, now)
            }
            is JoinedJobEnded -> {
                // If the callers of the owner had less time, the job is started here once it is no longer announced.
                val reason = (message.outcome as? StepJobOutcome.GivenUp)?.verdict?.reason
                val isAnswer = joinedJobs[message.job] != null && reason != Reason.DEADLINE
                if (isAnswer) answer(StepJobEffect.Answer(message.job, message.outcome))
            }
            else -> logger.debug { "Ignored a message from an entry that entries do not handle: $message" }
        }
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
        if (seenAgents.put(agent.name, agent.incarnation) == agent.incarnation) ownership.onReconnection(now)
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
            is RunEnded -> {
                val agent = hello.agent
                logger.event(RunEntryEvent.RUN_ENDED, "run" to message.run, "agent" to agent.name, "end" to message.end)
                perform(scheduler.onRunEnded(agent, message.run, message.end, message.runMillis, now))
            }
            is ConnectedEntries -> onReachabilityChanged(now) { onAgentReported(input.link, message.entries, now) }
            is Relayed -> onPeerMessage(message.peer, message.message, now)
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

    private fun onDisconnected(
        link: Link,
        now: Long,
        hasReconnected: Boolean = false,
    ) {
        val hello = agents.remove(link) ?: return
        links.remove(hello.agent)
        onReachabilityChanged(now) { onAgentLost(link, now) }
        logger.event(RunEntryEvent.AGENT_LOST, "agent" to hello.agent, "hasReconnected" to hasReconnected)
        perform(scheduler.onAgentLost(hello.agent, now, hasReconnected))
    }

    private fun perform(effects: List<StepJobEffect>) {
        for (effect in effects) {
            when (effect) {
                is StepJobEffect.Start -> start(effect)
                is StepJobEffect.Stop -> {
                    logger.event(RunEntryEvent.RUN_STOPPED, "run" to effect.run, "agent" to effect.agent.name)
                    links[effect.agent]?.send(StopRun(effect.run))
                }
                is StepJobEffect.ConfirmRuns -> links[effect.agent]?.send(ConfirmRuns(effect.job))
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
        joinedJobs.remove(effect.job)
        waiters.remove(effect.job)?.forEach { it.complete(outcome) }
        joinedJobs.removeJoiners(effect.job).forEach { exchange.send(it, JoinedJobEnded(effect.job, outcome)) }
    }

    companion object {
        /** Longest time between two checks of the jobs that wait. */
        const val TICK_MILLIS = 10L
        private const val MILLIS_PER_SECOND = 1_000L

        /** Refusal of requests that arrive too late in the drain. */
        val DRAINING_REFUSAL =
            StepJobOutcome.GivenUp(Verdict.NotRun(Reason.DRAINING, "This entry is about to end.", retryAfterMillis = 1))
    }
}
