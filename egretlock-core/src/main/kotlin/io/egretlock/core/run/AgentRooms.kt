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
    private val connectedAtMillis = HashMap<ProcessId, Long>()

    /** All agents that have reported an upstream. */
    val all: Collection<AgentRoom>
        get() = agents.values

    /** The agent with this identity; null if it is not connected or has no upstream. */
    operator fun get(agent: ProcessId): AgentRoom? = agents[agent]

    /** Notes that [agent] has connected and will report its upstream, if it has one. */
    fun expect(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        if (agent !in agents) connectedAtMillis[agent] = nowMillis
    }

    /**
     * Factor from the room that is reported to the room that will be once the agents that connected a moment ago have
     * reported; these are taken to be like the others.
     */
    fun growth(nowMillis: Long): Double {
        val expected = connectedAtMillis.values.count { nowMillis - it < REPORT_MILLIS }
        return if (agents.isEmpty()) 1.0 else 1.0 + expected.toDouble() / agents.size
    }

    /** Takes note of a report; [seenSequence] is the last order that it covers. */
    fun report(
        agent: ProcessId,
        failureDomain: FailureDomain,
        report: UpstreamReport,
        seenSequence: Long,
    ) {
        guard.add(agent)
        connectedAtMillis.remove(agent)
        val room = agents.getOrPut(agent) { AgentRoom(agent, failureDomain, report) }
        room.update(report, seenSequence)
    }

    /** Forgets an agent whose connection is gone. */
    fun remove(agent: ProcessId) {
        withdraw(agent)
        connectedAtMillis.remove(agent)
    }

    /** The agent has no upstream, or none yet. */
    fun withdraw(agent: ProcessId) {
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

    private companion object {
        /** Time in which an agent learns of its upstream: the interval of heartbeats, 1500 ms, and the calls after one. */
        const val REPORT_MILLIS = 2_000L
    }
}
