package io.egretlock.entry

import io.egretlock.core.home.Home
import io.egretlock.core.home.HomeEffect
import io.egretlock.core.home.Submission
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.TeamName
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.process.event
import io.egretlock.protocol.AttemptState
import io.egretlock.protocol.Cancel
import io.egretlock.protocol.CreditGrant
import io.egretlock.protocol.CreditRecall
import io.egretlock.protocol.CreditRequest
import io.egretlock.protocol.CreditReturn
import io.egretlock.protocol.Finished
import io.egretlock.protocol.Message
import io.egretlock.protocol.OutcomeReport
import io.egretlock.protocol.ProcessRevision
import io.egretlock.protocol.Reconcile
import io.egretlock.protocol.ReconcileReply
import io.egretlock.protocol.RevokeReply
import io.egretlock.protocol.RosterUpdate
import io.egretlock.protocol.SettingsApplied
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.Start
import io.egretlock.protocol.StartRefused
import io.egretlock.protocol.UpstreamUpdate
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/**
 * The task that owns a [Home] and the connections to agents. All input comes through one channel, so that decisions are
 * made one at a time.
 *
 * @property nowMillis monotonic clock in milliseconds.
 */
internal class HomeTask(
    private val self: EntryMember,
    private val home: Home,
    private val metrics: EntryMetrics,
    private val nowMillis: () -> Long,
) {
    private val inputs = Channel<HomeInput>(Channel.UNLIMITED)
    private val agents = ConnectedAgents(metrics)
    private val waiters = mutableMapOf<JobId, MutableList<CompletableDeferred<SubmitReply>>>()
    private val settings = linkedMapOf<TeamName, StoredTeamSettings>()
    private val counts = OutcomeCounts()
    private val ownership = ClaimOwnership(self)
    private val ticker = HomeTicker(::send)

    /** Queues an input. */
    fun send(input: HomeInput) {
        inputs.trySend(input)
    }

    /** Handles inputs until cancelled. */
    suspend fun run() =
        coroutineScope {
            launch { ticker.run() }
            handleInputs()
        }

    private suspend fun handleInputs() {
        for (input in inputs) {
            handle(input)
            handleQueued()
            ticker.observe(home.liveJobs)
            carryOut(home.takeEffects(nowMillis()))
        }
    }

    /** Handles inputs that are already queued, so that acknowledgements for one agent share a message. */
    private fun handleQueued() {
        repeat(MAX_INPUTS_AT_ONCE) {
            val input = inputs.tryReceive().getOrNull() ?: return
            handle(input)
        }
    }

    private fun handle(input: HomeInput) {
        when (input) {
            is HomeInput.Submit -> submit(input)
            is HomeInput.Cancel -> input.reply.complete(home.cancel(input.job, nowMillis()))
            is HomeInput.Query -> input.reply.complete(home.progress(input.job))
            is HomeInput.AgentOpened -> agentOpened(input)
            is HomeInput.FromAgent ->
                if (agents.isCurrent(
                        input.link,
                        input.agent,
                    )
                ) {
                    fromAgent(input.agent, input.message)
                }
            is HomeInput.AgentClosed -> agentClosed(input)
            is HomeInput.Settings -> applySettings(input.stored)
            is HomeInput.Outcomes -> input.reply.complete(outcomes(input.team))
            is HomeInput.Membership -> handleMembership(input)
            is HomeInput.Tick -> home.tick(nowMillis())
            is HomeInput.Dump -> input.reply.complete(dump())
        }
    }

    private fun handleMembership(input: HomeInput.Membership) {
        when (input) {
            is HomeInput.StopClaiming -> home.stopClaiming()
            is HomeInput.HandOver -> handOver(input)
            is HomeInput.ResumeClaiming -> ownership.resumeClaiming()
            is HomeInput.Inherit -> inherit(input)
            is HomeInput.FindHolder -> input.reply.complete(ownership.holderOfRunning(input.job))
            is HomeInput.RostersChanged -> agents.sendAll(RosterUpdate(input.rosters))
            is HomeInput.EntriesChanged -> home.entryShareChanged(input.share)
        }
    }

    private fun handOver(input: HomeInput.HandOver) {
        ownership.handOver(input.heir)
        val ended = home.exportClaims(nowMillis())
        input.reply.complete(ExportedClaims(ended, ownership.runningJobs(home.liveJobIds()), ownership.owners))
    }

    private fun inherit(input: HomeInput.Inherit) {
        val accepted = ownership.accept(input.part)
        if (accepted) {
            home.importClaims(input.part.claims, nowMillis())
            ownership.inherit(input.part.running)
            ownership.removeEnded(input.part.claims.map { it.claim.job })
        }
        input.reply.complete(accepted)
    }

    private fun submit(input: HomeInput.Submit) {
        val elsewhere = if (home.progress(input.job.id) == null) unknownJob(input) else null
        if (elsewhere == null) submitHere(input) else input.reply.complete(elsewhere)
    }

    /** The reply to a job that is not known here; null if this entry may claim it. */
    private fun unknownJob(input: HomeInput.Submit): SubmitReply? =
        ownership.holderOf(input.job.id)?.let { SubmitReply.Redirect(it) }
            ?: input.verdictIfUnknown?.let { SubmitReply.Ended(JobOutcome.WithoutAnswer(it)) }

    private fun submitHere(input: HomeInput.Submit) {
        when (val submission = home.submit(input.job, input.remainingMillis, nowMillis())) {
            is Submission.Ended -> input.reply.complete(SubmitReply.Ended(submission.outcome))
            is Submission.Waiting -> waiters.getOrPut(input.job.id) { mutableListOf() } += input.reply
        }
    }

    private fun agentOpened(input: HomeInput.AgentOpened) {
        if (agents.open(input)) home.agentDisconnected(input.agent, nowMillis())
        home.agentConnected(input.agent, agents.viewOf(input.agent), nowMillis())
        logger.event(EntryEvent.AGENT_CONNECTED, "agent" to input.agent, "service" to input.announcement?.service)
    }

    private fun agentClosed(input: HomeInput.AgentClosed) {
        if (!agents.close(input.link, input.agent)) return
        home.agentDisconnected(input.agent, nowMillis())
        logger.event(EntryEvent.AGENT_DISCONNECTED, "agent" to input.agent)
    }

    private fun fromAgent(
        agent: ProcessId,
        message: Message,
    ) {
        metrics.received(message.kind())
        when (message) {
            is UpstreamUpdate -> upstreamUpdated(agent, message)
            is CreditGrant -> home.creditsGranted(agent, message.count)
            is CreditRecall -> home.creditsRecalled(agent, message.count)
            is Finished -> finished(agent, message)
            is StartRefused -> home.attemptNotStarted(agent, message.attempt, nowMillis())
            is RevokeReply -> revoked(agent, message)
            is ReconcileReply -> reconciled(agent, message)
            is SettingsApplied -> agents.recordSettings(agent, message.revisions)
            else -> Unit
        }
    }

    private fun upstreamUpdated(
        agent: ProcessId,
        message: UpstreamUpdate,
    ) {
        agents.recordAnnouncement(agent, message.announcement)
        home.agentConnected(agent, agents.viewOf(agent), nowMillis())
    }

    private fun revoked(
        agent: ProcessId,
        message: RevokeReply,
    ) {
        if (!message.started) home.attemptNotStarted(agent, message.attempt, nowMillis())
    }

    private fun finished(
        agent: ProcessId,
        message: Finished,
    ) {
        if (message.credit) home.creditsGranted(agent, 1)
        home.taskFinished(agent, message.task, message.outcome, message.runMillis, nowMillis())
    }

    private fun reconciled(
        agent: ProcessId,
        message: ReconcileReply,
    ) {
        message.statuses
            .filter { it.state == AttemptState.NEVER_SEEN || it.state == AttemptState.REVOKED }
            .forEach { home.attemptNotStarted(agent, it.attempt, nowMillis()) }
    }

    private fun applySettings(stored: StoredTeamSettings) {
        val known = settings[stored.settings.team]
        if (known != null && known.revision >= stored.revision) return
        settings[stored.settings.team] = stored
        home.applySettings(stored)
        agents.sendAll(SettingsUpdate(listOf(stored)))
        logger.event(EntryEvent.SETTINGS_APPLIED, "team" to stored.settings.team, "revision" to stored.revision)
    }

    private fun carryOut(effects: List<HomeEffect>) {
        effects.forEach(::carryOut)
        agents.sendAcknowledgements()
    }

    private fun carryOut(effect: HomeEffect) {
        when (effect) {
            is HomeEffect.JobEnded -> jobEnded(effect)
            is HomeEffect.StartTask -> agents.send(effect.agent, effect.toMessage())
            is HomeEffect.AcknowledgeTask -> agents.acknowledge(effect.agent, effect.task)
            is HomeEffect.CancelTask -> agents.send(effect.agent, Cancel(effect.task))
            is HomeEffect.ReconcileTasks -> agents.send(effect.agent, Reconcile(effect.attempts))
            is HomeEffect.RequestCredits -> agents.send(effect.agent, CreditRequest(effect.wanted))
            is HomeEffect.ReturnCredits -> agents.send(effect.agent, CreditReturn(effect.count))
        }
    }

    private fun jobEnded(effect: HomeEffect.JobEnded) {
        counts.add(effect.team, effect.outcome)
        waiters.remove(effect.job)?.forEach { it.complete(SubmitReply.Ended(effect.outcome)) }
    }

    private fun outcomes(team: TeamName) =
        OutcomeReport(
            entry = self.entry,
            outcomes = counts.of(team),
            revisions = listOf(ProcessRevision(self.entry, settings[team]?.revision ?: 0)) + agents.revisionsOf(team),
        )

    private fun dump() =
        HomeDump(
            liveJobs = home.liveJobIds(),
            rememberedJobs = home.rememberedJobs,
            agents = agents.dump(),
            settings = settings.values.toList(),
        )

    private companion object {
        const val MAX_INPUTS_AT_ONCE = 64
    }
}

private fun HomeEffect.StartTask.toMessage() = Start(attempt, team, specification, remainingMillis)
