package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName

/**
 * Decides which agents a [Home] asks for credits, and for how many.
 *
 * A backlog is asked of a few agents at a time, so that the messages depend on the backlog and not on the number of
 * agents; those that were asked and granted nothing by the next tick are presumed busy, and further ones are asked. Once
 * the backlog is gone, requests are withdrawn, also from agents that have met theirs: several agents are asked for the
 * same backlog, and credits that it did not use are then free for others.
 */
internal class CreditRequests {
    private val services = linkedMapOf<ServiceName, ServiceAgents>()
    private val agents = hashMapOf<ProcessId, Candidate>()

    /** Makes an agent available for requests, or changes what it announced. */
    fun connected(
        agent: ProcessId,
        service: ServiceName,
        slots: Int,
    ) {
        val known = agents[agent]
        if (known?.service == service && known.slots == slots) return
        disconnected(agent)
        val candidate = Candidate(agent, service, slots)
        agents[agent] = candidate
        services.getOrPut(service) { ServiceAgents() }.idle += candidate
    }

    /** Forgets an agent and what it was asked for. */
    fun disconnected(agent: ProcessId) {
        agents.remove(agent)?.let { services[it.service]?.remove(it) }
    }

    /** An agent granted [count] credits, asked for or not. */
    fun granted(
        agent: ProcessId,
        count: Int,
    ) {
        val candidate = agents[agent] ?: return
        services[candidate.service]?.granted(candidate, count)
    }

    /** Requests that the present need, as [wantedFor] gives it per service, calls for. */
    fun requests(wantedFor: (ServiceName) -> Int): List<HomeEffect.RequestCredits> =
        services.flatMap { (service, known) -> known.ask(wantedFor(service)) }

    /** Presumes that asked agents are busy, and withdraws the requests of services that need no credits any more. */
    fun tick(wantedFor: (ServiceName) -> Int): List<HomeEffect.RequestCredits> =
        services.flatMap { (service, known) ->
            known.presumeBusy()
            if (wantedFor(service) == 0) known.withdraw() else emptyList()
        }

    private class Candidate(
        val agent: ProcessId,
        val service: ServiceName,
        val slots: Int,
    ) {
        /** Credits that were asked for and not granted yet. */
        var outstanding = 0

        /** Whether the outstanding credits still count against the need. */
        var isExpected = false
    }

    private class ServiceAgents {
        val idle = linkedSetOf<Candidate>()
        private val asked = linkedSetOf<Candidate>()

        /** Agents that granted credits since the backlog was gone last. */
        private val met = linkedSetOf<Candidate>()
        private var expected = 0

        fun ask(wanted: Int): List<HomeEffect.RequestCredits> {
            var missing = wanted - expected
            if (missing <= 0) return emptyList()
            val requests = mutableListOf<HomeEffect.RequestCredits>()
            while (idle.isNotEmpty() && (missing > 0 || requests.size < SMALLEST_FAN_OUT)) {
                val request = ask(idle.first(), missing.coerceAtLeast(1))
                missing -= request.wanted
                requests += request
            }
            return requests
        }

        fun granted(
            candidate: Candidate,
            count: Int,
        ) {
            if (candidate.outstanding == 0) return
            val granted = minOf(count, candidate.outstanding)
            candidate.outstanding -= granted
            if (candidate.isExpected) expected -= granted
            met += candidate
            if (candidate.outstanding == 0) release(candidate)
        }

        fun presumeBusy() {
            if (expected == 0) return
            asked.forEach { it.isExpected = false }
            expected = 0
        }

        fun withdraw(): List<HomeEffect.RequestCredits> {
            val told = asked + met
            met.clear()
            return told.map { candidate ->
                release(candidate)
                HomeEffect.RequestCredits(candidate.agent, 0)
            }
        }

        fun remove(candidate: Candidate) {
            release(candidate)
            idle.remove(candidate)
            met.remove(candidate)
        }

        private fun ask(
            candidate: Candidate,
            missing: Int,
        ): HomeEffect.RequestCredits {
            candidate.outstanding = minOf(missing, candidate.slots)
            candidate.isExpected = true
            expected += candidate.outstanding
            idle.remove(candidate)
            asked += candidate
            return HomeEffect.RequestCredits(candidate.agent, candidate.outstanding)
        }

        private fun release(candidate: Candidate) {
            if (candidate.isExpected) expected -= candidate.outstanding
            candidate.isExpected = false
            candidate.outstanding = 0
            asked.remove(candidate)
            idle += candidate
        }
    }

    private companion object {
        const val SMALLEST_FAN_OUT = 4
    }
}
