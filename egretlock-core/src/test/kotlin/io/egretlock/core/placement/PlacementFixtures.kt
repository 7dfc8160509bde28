package io.egretlock.core.placement

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.Job
import io.egretlock.core.job.JobId
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.job.TaskSpecification
import io.egretlock.core.job.TeamName
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings

internal val SERVICE = ServiceName("net-check")
internal val TEAM = TeamName("north")
internal val OTHER_TEAM = TeamName("south")
internal val CHECK = OperationName("tear-check")
internal val REVIEW = OperationName("strain-review")

internal fun agentId(name: String) = ProcessId(name, 1)

internal fun view(
    name: String,
    slots: Int = 4,
    domain: String = "etna-nord",
    resources: UpstreamResources = UpstreamResources(),
) = AgentView(
    agentId(name),
    FailureDomain(domain),
    UpstreamAnnouncement(SERVICE, slots, connections = 64, address = "127.0.0.1:1", resources = resources),
)

internal fun job(
    id: String,
    tasks: Int = 1,
    team: TeamName = TEAM,
    operation: OperationName = CHECK,
    deadlineMillis: Long = 10_000,
) = Job(
    id = JobId(id),
    team = team,
    service = SERVICE,
    createdAtMillis = 0,
    deadlineMillis = deadlineMillis,
    tasks = List(tasks) { TaskSpecification(operation, idempotent = true, payload = "{}") },
)

internal fun settings(
    team: TeamName = TEAM,
    revision: Long = 1,
    weight: Double = 1.0,
    limits: ServiceSettings = ServiceSettings(SERVICE),
) = StoredTeamSettings(revision, TeamSettings(team, weight, listOf(limits)))

internal fun Dispatcher.submitNow(
    job: Job,
    nowMillis: Long = 0,
): Admission = submit(job, nowMillis + job.deadlineMillis, nowMillis)
