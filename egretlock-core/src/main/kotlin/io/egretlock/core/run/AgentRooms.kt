package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.AgentGuard
import io.egretlock.core.placement.FailureGuard

/** The connected agents of all services, and which of them are suspended because their upstream fails what it starts. */
class AgentRooms(
    private val guard: AgentGuard = FailureGuard(),
) {
    private val agents = LinkedHashMap<ProcessId, AgentRoom>()
    private val probes = HashSet<ProcessId>()

    /** All agents that have reported an upstream. */
    val all: Collection<AgentRoom>
        get() = agents.values

    /** The agent with this identity; null if it is not connected or has no upstream. */
    operator fun get(agent: ProcessId): AgentRoom? = agents[agent]

    /** Takes note of a report; [seenSequence] is the last order that it covers. */
    fun report(
        agent: ProcessId,
        failureDomain: FailureDomain,
        report: UpstreamReport,
        seenSequence: Long,
    ) {
        guard.add(agent)
        val room = agents.getOrPut(agent) { AgentRoom(agent, failureDomain, report) }
        room.update(report, seenSequence)
    }

    /** Forgets an agent whose connection or upstream is gone. */
    fun remove(agent: ProcessId) {
        agents.remove(agent)
        probes.remove(agent)
        guard.forget(agent)
    }

    /** Takes note of the end of a run. */
    fun record(
        agent: ProcessId,
        queue: String,
        succeeded: Boolean,
        nowMillis: Long,
    ) = guard.record(agent, OperationName(queue), succeeded, nowMillis)

    /** Agents of [service] that take runs now. A suspended agent takes one run at a time when its probe is due. */
    fun available(
        service: ServiceName,
        nowMillis: Long,
    ): List<AgentRoom> {
        probes += guard.probesDue(nowMillis)
        return agents.values.filter { room ->
            room.report.service == service &&
                room.report.accepting &&
                (!guard.isSuspended(room.agent) || room.agent in probes)
        }
    }

    /** Notes that [agent] got a run, which uses its probe up if it is suspended. */
    fun chosen(agent: ProcessId) {
        probes.remove(agent)
    }

    /** Whether any agent of [service] is known; just after a start none is. */
    fun knows(service: ServiceName): Boolean = agents.values.any { it.report.service == service }

    /** Whether some agent of [service] could hold [room] if it were empty. */
    fun couldHold(
        service: ServiceName,
        room: Room,
    ): Boolean = agents.values.any { it.report.service == service && it.report.total.holds(room) }
}
