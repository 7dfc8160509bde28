package io.egretlock.core.run

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.OperationName
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName
import io.egretlock.core.placement.AgentCircuitBreaker
import io.egretlock.core.placement.FailureCircuitBreaker

/**
 * The connected agents of all services; those whose upstreams repeatedly fail runs are suspended by [circuitBreaker].
 */
class AgentRooms(
    private val circuitBreaker: AgentCircuitBreaker = FailureCircuitBreaker(),
) {
    private val agents = LinkedHashMap<ProcessId, AgentRoom>()
    private val probes = HashSet<ProcessId>()
    private val connectedAtMillis = HashMap<ProcessId, Long>()

    /** Speeds by service, kept until the next report, since a placement needs them for each waiting job. */
    private val fastestSpeeds = HashMap<ServiceName, Double>()

    private var lastOrderSequence = 0L

    /** Agents that have reported an upstream. */
    val all: Collection<AgentRoom>
        get() = agents.values

    /** Returns the state of [agent]; null if the agent is not connected or has no upstream. */
    operator fun get(agent: ProcessId): AgentRoom? = agents[agent]

    /** Records that [agent] has connected and is expected to report its upstream, if it has one. */
    fun expectReport(
        agent: ProcessId,
        nowMillis: Long,
    ) {
        if (agent !in agents) connectedAtMillis[agent] = nowMillis
    }

    /**
     * Ratio of the room that is expected soon to the room that is reported now. Agents that connected within the
     * last [REPORT_WAIT_MILLIS] and have not reported yet are assumed to have as much room as the average agent.
     */
    fun growthFactor(nowMillis: Long): Double {
        val expectedCount = connectedAtMillis.values.count { nowMillis - it < REPORT_WAIT_MILLIS }
        return if (agents.isEmpty()) 1.0 else 1.0 + expectedCount.toDouble() / agents.size
    }

    /** Records a report of [agent]; [seenSequence] is the number of the last order that it covers. */
    fun report(
        agent: ProcessId,
        failureDomain: FailureDomain,
        report: UpstreamReport,
        seenSequence: Long,
    ) {
        circuitBreaker.add(agent)
        connectedAtMillis.remove(agent)
        fastestSpeeds.clear()
        val room = agents.getOrPut(agent) { AgentRoom(agent, failureDomain, report) }
        room.update(report, seenSequence)
    }

    /** Returns the number of the next order to any agent. */
    fun nextOrderSequence(): Long = ++lastOrderSequence

    /** Removes an agent whose connection has closed. */
    fun remove(agent: ProcessId) {
        removeUpstream(agent)
        connectedAtMillis.remove(agent)
    }

    /** Records that [agent] has no upstream, or none yet. */
    fun removeUpstream(agent: ProcessId) {
        agents.remove(agent)
        fastestSpeeds.clear()
        probes.remove(agent)
        circuitBreaker.forget(agent)
    }

    /** Records whether a run on [agent] succeeded. */
    fun record(
        agent: ProcessId,
        queue: String,
        succeeded: Boolean,
        nowMillis: Long,
    ) = circuitBreaker.record(agent, OperationName(queue), succeeded, nowMillis)

    /**
     * Returns the agents of [service] that accept runs now. A suspended agent gets a single run when its probe is due.
     */
    fun available(
        service: ServiceName,
        nowMillis: Long,
    ): List<AgentRoom> {
        probes += circuitBreaker.probesDue(nowMillis)
        return agents.values.filter { room ->
            room.report.service == service &&
                room.report.accepting &&
                (!circuitBreaker.isSuspended(room.agent) || room.agent in probes)
        }
    }

    /** Highest speed of the upstreams of [service] that accept runs, with or without room; 1 if there are none. */
    fun fastestSpeed(service: ServiceName): Double =
        fastestSpeeds.getOrPut(service) {
            agents.values
                .filter { it.report.service == service && it.report.accepting }
                .maxOfOrNull { it.report.speed } ?: 1.0
        }

    /** Records that [agent] was given a run, which uses up its probe if it is suspended. */
    fun useProbe(agent: ProcessId) {
        probes.remove(agent)
    }

    /** Whether any agent of [service] has reported. None has just after the entry started. */
    fun hasAgentOf(service: ServiceName): Boolean = agents.values.any { it.report.service == service }

    /** Whether some agent of [service] has [room] in total, ignoring what is in use. */
    fun canEverHold(
        service: ServiceName,
        room: Room,
    ): Boolean = agents.values.any { it.report.service == service && it.report.total.canHold(room) }

    private companion object {
        /** Time in which an agent finds its upstream: the heartbeat interval of 1500 ms and the calls that follow. */
        const val REPORT_WAIT_MILLIS = 2_000L
    }
}
