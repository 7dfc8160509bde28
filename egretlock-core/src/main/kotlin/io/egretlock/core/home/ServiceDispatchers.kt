package io.egretlock.core.home

import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskId
import io.egretlock.core.job.TeamName
import io.egretlock.core.job.Verdict
import io.egretlock.core.placement.Admission
import io.egretlock.core.placement.AgentView
import io.egretlock.core.placement.Dispatcher
import io.egretlock.core.placement.EntryShare
import io.egretlock.core.placement.Placement
import io.egretlock.core.settings.StoredTeamSettings

/** One [Dispatcher] per service, created by [createDispatcher] on the first use of the service. */
class ServiceDispatchers(
    private val createDispatcher: (ServiceName) -> Dispatcher,
) {
    private val dispatchers = linkedMapOf<ServiceName, Dispatcher>()
    private val serviceByAgent = mutableMapOf<ProcessId, ServiceName>()
    private val settingsByTeam = linkedMapOf<TeamName, StoredTeamSettings>()
    private val requests = CreditRequests()
    private var entryShare = EntryShare()

    internal fun applySettings(settings: StoredTeamSettings) {
        val current = settingsByTeam[settings.settings.team]
        if (current != null && current.revision >= settings.revision) return
        settingsByTeam[settings.settings.team] = settings
        dispatchers.values.forEach { it.applySettings(settings) }
    }

    internal fun entryShareChanged(share: EntryShare) {
        entryShare = share
        dispatchers.values.forEach { it.entryShareChanged(share) }
    }

    internal fun agentChanged(view: AgentView) {
        val previous = serviceByAgent.put(view.agent, view.upstream.service)
        if (previous != null && previous != view.upstream.service) dispatchers[previous]?.agentLost(view.agent)
        dispatcher(view.upstream.service).agentChanged(view)
        requests.connected(view.agent, view.upstream.service, view.upstream.slots)
    }

    internal fun agentLost(agent: ProcessId) {
        requests.disconnected(agent)
        serviceByAgent.remove(agent)?.let { dispatchers[it]?.agentLost(agent) }
    }

    internal fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) {
        requests.granted(agent, count)
        dispatcherOf(agent)?.creditsGranted(agent, count)
    }

    internal fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ): Int = dispatcherOf(agent)?.creditsRecalled(agent, count) ?: 0

    internal fun submit(
        job: Job,
        deadlineAtMillis: Long,
        nowMillis: Long,
    ): Admission {
        val settings =
            settingsByTeam[job.team]?.settings
                ?: return refusal(Reason.UNKNOWN_TEAM, "Team '${job.team}' has no settings.")
        val closed = job.tasks.firstOrNull { settings.isClosed(job.service, it.operation) }
        return when {
            settings.service(job.service) == null ->
                refusal(Reason.UNKNOWN_SERVICE, "Team '${job.team}' has no service '${job.service}'.")
            closed != null -> closed(job.team, closed.operation)
            else -> dispatcher(job.service).submit(job, deadlineAtMillis, nowMillis)
        }
    }

    internal fun placements(nowMillis: Long): List<Placement> = dispatchers.values.flatMap { it.placements(nowMillis) }

    internal fun taskEnded(
        service: ServiceName,
        task: TaskId,
        agent: ProcessId,
        runMillis: Long?,
        succeeded: Boolean,
        nowMillis: Long,
    ) {
        dispatchers[service]?.taskEnded(task, agent, runMillis, succeeded, nowMillis)
    }

    internal fun taskRequeued(
        service: ServiceName,
        task: TaskId,
        nowMillis: Long,
    ) {
        dispatchers[service]?.taskRequeued(task, nowMillis)
    }

    internal fun withdraw(
        service: ServiceName,
        job: JobId,
    ) {
        dispatchers[service]?.withdraw(job)
    }

    /** Returns new requests for missing credits. */
    internal fun creditRequests(): List<HomeEffect.RequestCredits> = requests.newRequests(::creditsWanted)

    /** Returns withdrawals of requests that are no longer needed. */
    internal fun tickCreditRequests(): List<HomeEffect.RequestCredits> = requests.tick(::creditsWanted)

    private fun creditsWanted(service: ServiceName): Int = dispatchers[service]?.creditsWanted() ?: 0

    private fun dispatcherOf(agent: ProcessId): Dispatcher? = serviceByAgent[agent]?.let { dispatchers[it] }

    private fun dispatcher(service: ServiceName): Dispatcher =
        dispatchers.getOrPut(service) {
            createDispatcher(service).also { created ->
                created.entryShareChanged(entryShare)
                settingsByTeam.values.forEach { created.applySettings(it) }
            }
        }

    private fun closed(
        team: TeamName,
        operation: OperationName,
    ) = Admission.Refused(
        Verdict.NotRun(
            Reason.OPERATION_CLOSED,
            "Team '$team' has closed operation '$operation'.",
            CLOSED_RETRY_MILLIS,
        ),
    )

    private fun refusal(
        reason: Reason,
        detail: String,
    ) = Admission.Refused(Verdict.NotRun(reason, detail))

    private companion object {
        const val CLOSED_RETRY_MILLIS = 30_000L
    }
}
