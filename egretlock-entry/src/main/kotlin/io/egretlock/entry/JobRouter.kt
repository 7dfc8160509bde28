package io.egretlock.entry

import io.egretlock.core.home.JobProgress
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.JobOutcome
import io.egretlock.core.job.Reason
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember
import io.egretlock.protocol.ForwardCancel
import io.egretlock.protocol.ForwardJob
import io.egretlock.protocol.ForwardQuery
import io.egretlock.protocol.ForwardReply
import io.egretlock.protocol.ForwardStateReply
import io.egretlock.protocol.JobState
import io.egretlock.protocol.OutcomeReport
import io.egretlock.protocol.OutcomesReply
import io.egretlock.protocol.OutcomesRequest
import kotlinx.coroutines.CompletableDeferred

/**
 * Routes each request about a job to the job's home, at this or another entry.
 *
 * @property nowMillis monotonic clock in milliseconds.
 */
internal class JobRouter(
    private val locator: JobLocator,
    private val home: HomeTask,
    private val peers: PeerCalls,
    private val handover: HandoverSignal = HandoverSignal(),
    private val nowMillis: () -> Long,
) {
    /** Submits or joins [job] and waits for its outcome. */
    suspend fun submit(
        job: Job,
        remainingMillis: Long,
    ): JobOutcome =
        when (val location = locator.locate(job.id, job.createdAtMillis)) {
            is JobLocation.Local -> submitHere(job, remainingMillis)
            is JobLocation.LocalIfKnown -> submitHere(job, remainingMillis, location.verdictIfUnknown)
            is JobLocation.Refused -> JobOutcome.WithoutAnswer(location.verdict)
            is JobLocation.Remote -> submitElsewhere(location.member, job, remainingMillis)
        }

    /** Submits or joins a job that another entry has forwarded. It is not forwarded to the home found by [locator]. */
    suspend fun submitForwarded(
        job: Job,
        remainingMillis: Long,
    ): JobOutcome =
        when (val location = locator.locate(job.id, job.createdAtMillis)) {
            is JobLocation.Local -> submitHere(job, remainingMillis)
            is JobLocation.LocalIfKnown -> submitHere(job, remainingMillis, location.verdictIfUnknown)
            is JobLocation.Refused -> submitHere(job, remainingMillis, location.verdict)
            is JobLocation.Remote -> submitHere(job, remainingMillis, homeMoved(location.member))
        }

    /** Submits or joins [job] at this entry. With [verdictIfUnknown], an unknown job gets that and is not claimed. */
    private suspend fun submitHere(
        job: Job,
        remainingMillis: Long,
        verdictIfUnknown: Verdict? = null,
    ): JobOutcome {
        val untilMillis = nowMillis() + remainingMillis
        val first = submitToHome(job, remainingMillis, verdictIfUnknown)
        val answer = if (first is SubmitReply.Redirect) submitAfterOffer(job, untilMillis, verdictIfUnknown) else first
        return when (answer) {
            is SubmitReply.Ended -> answer.outcome
            is SubmitReply.Redirect -> submitElsewhere(answer.member, job, untilMillis - nowMillis())
        }
    }

    /**
     * Submits again after each ongoing offer. An heir can claim jobs once it has all claims; if it refuses them, this
     * entry claims jobs again.
     */
    private suspend fun submitAfterOffer(
        job: Job,
        untilMillis: Long,
        verdictIfUnknown: Verdict?,
    ): SubmitReply {
        var waited = handover.await()
        var answer = submitToHome(job, untilMillis - nowMillis(), verdictIfUnknown)
        while (waited && answer is SubmitReply.Redirect) {
            waited = handover.await()
            answer = submitToHome(job, untilMillis - nowMillis(), verdictIfUnknown)
        }
        return answer
    }

    private suspend fun submitToHome(
        job: Job,
        remainingMillis: Long,
        verdictIfUnknown: Verdict?,
    ): SubmitReply {
        val reply = CompletableDeferred<SubmitReply>()
        home.send(HomeInput.Submit(job, remainingMillis, reply, verdictIfUnknown))
        return reply.await()
    }

    /** Cancels a job; null if its home does not know it. */
    suspend fun cancel(
        job: JobId,
        createdAtMillis: Long,
    ): JobOutcome? =
        when (val location = locator.locate(job, createdAtMillis)) {
            is JobLocation.Local -> cancelHere(job, createdAtMillis)
            is JobLocation.LocalIfKnown ->
                cancelHere(job, createdAtMillis) ?: JobOutcome.WithoutAnswer(location.verdictIfUnknown)
            is JobLocation.Refused -> JobOutcome.WithoutAnswer(location.verdict)
            is JobLocation.Remote -> cancelAt(location.member, job, createdAtMillis)
        }

    /** Cancels a job at this entry, or at the leaving entry where it still runs. */
    suspend fun cancelHere(
        job: JobId,
        createdAtMillis: Long,
    ): JobOutcome? = cancelKnown(job) ?: holder(job)?.let { cancelAt(it, job, createdAtMillis) }

    private suspend fun cancelAt(
        member: EntryMember,
        job: JobId,
        createdAtMillis: Long,
    ): JobOutcome {
        val reply = peers.call(member, CALL_TIMEOUT_MILLIS) { request -> ForwardCancel(request, job, createdAtMillis) }
        return (reply as? ForwardReply)?.outcome ?: homeLost(member)
    }

    private suspend fun holder(job: JobId): EntryMember? {
        val reply = CompletableDeferred<EntryMember?>()
        home.send(HomeInput.FindHolder(job, reply))
        return reply.await()
    }

    private suspend fun cancelKnown(job: JobId): JobOutcome? {
        val reply = CompletableDeferred<JobOutcome?>()
        home.send(HomeInput.Cancel(job, reply))
        return reply.await()
    }

    /** The state of a job. */
    suspend fun state(
        job: JobId,
        createdAtMillis: Long,
    ): JobState =
        when (val location = locator.locate(job, createdAtMillis)) {
            is JobLocation.Local -> stateHere(job)
            is JobLocation.LocalIfKnown -> stateHere(job)
            is JobLocation.Refused -> JobState.UNKNOWN
            is JobLocation.Remote -> stateAt(location.member, job)
        }

    private suspend fun stateAt(
        member: EntryMember,
        job: JobId,
    ): JobState {
        val reply = peers.call(member, CALL_TIMEOUT_MILLIS) { request -> ForwardQuery(request, job) }
        return (reply as? ForwardStateReply)?.state ?: JobState.UNKNOWN
    }

    /** The state of a job at this entry, or at the leaving entry where it still runs. */
    suspend fun stateHere(job: JobId): JobState {
        val reply = CompletableDeferred<JobProgress?>()
        home.send(HomeInput.Query(job, reply))
        return when (reply.await()) {
            null -> holder(job)?.let { stateAt(it, job) } ?: JobState.UNKNOWN
            JobProgress.QUEUED -> JobState.QUEUED
            JobProgress.RUNNING -> JobState.RUNNING
            JobProgress.COMPLETE -> JobState.COMPLETE
            JobProgress.WITHOUT_ANSWER -> JobState.WITHOUT_ANSWER
        }
    }

    /** The outcome counts of [team] at this entry. */
    suspend fun outcomesHere(team: TeamName): OutcomeReport {
        val reply = CompletableDeferred<OutcomeReport>()
        home.send(HomeInput.Outcomes(team, reply))
        return reply.await()
    }

    /** The outcome counts of [team] at [member]; null if that entry does not answer. */
    suspend fun outcomesAt(
        member: EntryMember,
        team: TeamName,
    ): OutcomeReport? =
        (peers.call(member, CALL_TIMEOUT_MILLIS) { request -> OutcomesRequest(request, team) } as? OutcomesReply)
            ?.report

    private suspend fun submitElsewhere(
        member: EntryMember,
        job: Job,
        remainingMillis: Long,
    ): JobOutcome {
        val untilMillis = nowMillis() + remainingMillis
        return forward(member, job, remainingMillis) ?: submitAfterLoss(member, job, untilMillis - nowMillis())
    }

    private suspend fun forward(
        member: EntryMember,
        job: Job,
        remainingMillis: Long,
    ): JobOutcome? {
        val reply =
            peers.call(member, remainingMillis + CALL_TIMEOUT_MILLIS) { request ->
                ForwardJob(request, job, remainingMillis)
            }
        return (reply as? ForwardReply)?.outcome
    }

    /** Submits to the heir of a home that left during the call; the heir knows the job or may claim it. */
    private suspend fun submitAfterLoss(
        lost: EntryMember,
        job: Job,
        remainingMillis: Long,
    ): JobOutcome {
        if (remainingMillis <= 0) return homeLost(lost)
        val outcome =
            when (val location = locator.locate(job.id, job.createdAtMillis)) {
                is JobLocation.Local -> submitUnlessRedirected(job, remainingMillis, verdictIfUnknown = null)
                is JobLocation.LocalIfKnown -> submitUnlessRedirected(job, remainingMillis, location.verdictIfUnknown)
                is JobLocation.Refused -> null
                is JobLocation.Remote ->
                    location.member.takeIf { it != lost }?.let { forward(it, job, remainingMillis) }
            }
        return outcome ?: homeLost(lost)
    }

    /** Submits or joins [job] at this entry; null if it belongs to another entry. */
    private suspend fun submitUnlessRedirected(
        job: Job,
        remainingMillis: Long,
        verdictIfUnknown: Verdict?,
    ): JobOutcome? = (submitToHome(job, remainingMillis, verdictIfUnknown) as? SubmitReply.Ended)?.outcome

    private fun homeMoved(member: EntryMember) =
        Verdict.MayHaveRun(Reason.NO_AUTHORITY, "The home of the job has become entry '${member.entry}'.")

    private fun homeLost(member: EntryMember) =
        JobOutcome.WithoutAnswer(
            Verdict.MayHaveRun(Reason.HOME_LOST, "Entry '${member.entry}', the home of the job, does not answer."),
        )

    private companion object {
        const val CALL_TIMEOUT_MILLIS = 2_000L
    }
}
