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

/** One [Dispatcher] for each service, made by [create] when the service is first heard of. */
class ServiceDispatchers(
    private val create: (ServiceName) -> Dispatcher,
) {
    private val dispatchers = linkedMapOf<ServiceName, Dispatcher>()
    private val services = mutableMapOf<ProcessId, ServiceName>()
    private val teams = linkedMapOf<TeamName, StoredTeamSettings>()
    private val requests = CreditRequests()
    private var entryShare = EntryShare()

    internal fun applySettings(settings: StoredTeamSettings) {
        val known = teams[settings.settings.team]
        if (known != null && known.revision >= settings.revision) return
        teams[settings.settings.team] = settings
        dispatchers.values.forEach { it.applySettings(settings) }
    }

    internal fun entriesChanged(share: EntryShare) {
        entryShare = share
        dispatchers.values.forEach { it.entriesChanged(share) }
    }

    internal fun agentChanged(view: AgentView) {
        val before = services.put(view.agent, view.upstream.service)
        if (before != null && before != view.upstream.service) dispatchers[before]?.agentLost(view.agent)
        dispatcher(view.upstream.service).agentChanged(view)
        requests.connected(view.agent, view.upstream.service, view.upstream.slots)
    }

    internal fun agentLost(agent: ProcessId) {
        requests.disconnected(agent)
        services.remove(agent)?.let { dispatchers[it]?.agentLost(agent) }
    }

    internal fun creditsGranted(
        agent: ProcessId,
        count: Int,
    ) {
        requests.granted(agent, count)
        of(agent)?.creditsGranted(agent, count)
    }

    internal fun creditsRecalled(
        agent: ProcessId,
        count: Int,
    ): Int = of(agent)?.creditsRecalled(agent, count) ?: 0

    internal fun submit(
        job: Job,
        deadlineAtMillis: Long,
        nowMillis: Long,
    ): Admission {
        val settings =
            teams[job.team]?.settings
                ?: return refused(Reason.UNKNOWN_TEAM, "Team '${job.team}' has no settings.")
        val closed = job.tasks.firstOrNull { settings.isClosed(job.service, it.operation) }
        return when {
            settings.service(job.service) == null ->
                refused(Reason.UNKNOWN_SERVICE, "Team '${job.team}' has no service '${job.service}'.")
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

    internal fun taskReturned(
        service: ServiceName,
        task: TaskId,
        nowMillis: Long,
    ) {
        dispatchers[service]?.taskReturned(task, nowMillis)
    }

    internal fun withdraw(
        service: ServiceName,
        job: JobId,
    ) {
        dispatchers[service]?.withdraw(job)
    }

    /** Requests for the credits that are missing now. */
    internal fun creditRequests(): List<HomeEffect.RequestCredits> = requests.requests(::creditsWanted)

    /** Withdraws requests that are not needed any more. */
    internal fun tickCreditRequests(): List<HomeEffect.RequestCredits> = requests.tick(::creditsWanted)

    private fun creditsWanted(service: ServiceName): Int = dispatchers[service]?.creditsWanted() ?: 0

    private fun of(agent: ProcessId): Dispatcher? = services[agent]?.let { dispatchers[it] }

    private fun dispatcher(service: ServiceName): Dispatcher =
        dispatchers.getOrPut(service) {
            create(service).also { created ->
                created.entriesChanged(entryShare)
                teams.values.forEach { created.applySettings(it) }
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

    private fun refused(
        reason: Reason,
        detail: String,
    ) = Admission.Refused(Verdict.NotRun(reason, detail))

    private companion object {
        const val CLOSED_RETRY_MILLIS = 30_000L
    }
}
