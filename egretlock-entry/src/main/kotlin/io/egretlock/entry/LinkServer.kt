package io.egretlock.entry

import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.Roster
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.protocol.AgentHello
import io.egretlock.protocol.ClaimHandover
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.ForwardCancel
import io.egretlock.protocol.ForwardJob
import io.egretlock.protocol.ForwardQuery
import io.egretlock.protocol.ForwardReply
import io.egretlock.protocol.ForwardStateReply
import io.egretlock.protocol.HandoverReply
import io.egretlock.protocol.Link
import io.egretlock.protocol.Message
import io.egretlock.protocol.OutcomesReply
import io.egretlock.protocol.OutcomesRequest
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.protocol.Welcome
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch

/** Serves the connections dialled by agents and other entries. */
internal class LinkServer(
    private val entry: ProcessId,
    private val home: HomeTask,
    private val router: JobRouter,
    private val sharedState: SharedState,
    private val messageRouter: PeerMessageRouter,
    private val roster: RosterTask,
    private val drain: Drain,
    private val scope: CoroutineScope,
) {
    /** Serves one connection until it ends. */
    suspend fun serve(link: Link) {
        when (val hello = link.incoming.receiveCatching().getOrNull()) {
            is AgentHello -> serveAgent(link, hello)
            is EntryHello -> servePeer(link)
            else -> Unit
        }
        link.close()
    }

    private suspend fun serveAgent(
        link: Link,
        hello: AgentHello,
    ) {
        link.send(welcome())
        home.send(opened(link, hello))
        for (message in link.incoming) {
            if (message is SettingsUpdate) messageRouter.received(message)
            home.send(HomeInput.FromAgent(link, hello.agent, message))
        }
        home.send(HomeInput.AgentClosed(link, hello.agent))
    }

    private fun opened(
        link: Link,
        hello: AgentHello,
    ) = HomeInput.AgentOpened(
        link = link,
        agent = hello.agent,
        failureDomain = hello.failureDomain,
        announcement = hello.announcement,
        revisions = hello.settingsRevisions,
    )

    private suspend fun servePeer(link: Link) {
        link.send(welcome())
        for (message in link.incoming) scope.launch { answer(link, message) }
    }

    private fun welcome() = Welcome(entry, sharedState.rosters(), sharedState.settings())

    private suspend fun answer(
        link: Link,
        message: Message,
    ) {
        when (message) {
            is ForwardJob -> counted { answerJob(link, message) }
            is ForwardCancel -> answerCancel(link, message)
            is ForwardQuery -> link.send(ForwardStateReply(message.request, router.stateHere(message.job)))
            is OutcomesRequest -> link.send(OutcomesReply(message.request, router.outcomesHere(message.team)))
            is ClaimHandover -> link.send(HandoverReply(message.request, entry, inherit(message)))
            else -> messageRouter.received(message)
        }
    }

    /** Counts a forwarded job as a request in flight, so that a drain waits for its answer. */
    private suspend fun counted(body: suspend () -> Unit) {
        drain.beginRequest()
        try {
            body()
        } finally {
            drain.endRequest()
        }
    }

    private suspend fun answerJob(
        link: Link,
        message: ForwardJob,
    ) = link.send(ForwardReply(message.request, router.submitForwarded(message.job, message.remainingMillis)))

    private suspend fun answerCancel(
        link: Link,
        message: ForwardCancel,
    ) {
        val outcome = router.cancelHere(message.job, message.createdAtMillis) ?: unknownJob()
        link.send(ForwardReply(message.request, outcome))
    }

    private suspend fun inherit(handover: ClaimHandover): Boolean {
        val reply = CompletableDeferred<Boolean>()
        home.send(HomeInput.Inherit(handover, reply))
        val accepted = reply.await()
        if (accepted && handover.owners.isNotEmpty()) roster.inherit(handover.owners, handover.sender)
        return accepted
    }

    private fun unknownJob() =
        JobOutcome.WithoutAnswer(Verdict.MayHaveRun(Reason.RETENTION, "The job is not known at its home."))
}

/** State that an entry sends to each agent and entry that connects to it. */
internal interface SharedState {
    /** Rosters that can still determine a job's home, oldest first. */
    fun rosters(): List<Roster>

    /** Settings in force. */
    fun settings(): List<StoredTeamSettings>
}
