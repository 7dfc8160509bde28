package io.egretlock.core.home

import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.ServiceName

/**
 * Decides from which agents a [Home] requests credits, and how many.
 *
 * Credits for a backlog are requested from a few agents at a time, so that the number of messages depends on the size
 * of the backlog and not on the number of agents. Agents that grant nothing until the next tick are presumed busy, and
 * the credits are requested from further agents. Once the backlog is gone, requests are withdrawn, also from agents
 * that granted them in full: credits for one backlog are requested from several agents, and the unused ones become free
 * for other entries.
 */
internal class CreditRequests {
    private val services = linkedMapOf<ServiceName, ServiceAgents>()
    private val agents = hashMapOf<ProcessId, Candidate>()

    /** Makes an agent available for requests, or updates its announced service and slots. */
    fun connected(
        agent: ProcessId,
        service: ServiceName,
        slots: Int,
    ) {
        val current = agents[agent]
        if (current?.service == service && current.slots == slots) return
        disconnected(agent)
        val candidate = Candidate(agent, service, slots)
        agents[agent] = candidate
        services.getOrPut(service) { ServiceAgents() }.available += candidate
    }

    /** Removes an agent and its outstanding request. */
    fun disconnected(agent: ProcessId) {
        agents.remove(agent)?.let { services[it.service]?.remove(it) }
    }

    /** Records that an agent granted [count] credits, whether they were requested or not. */
    fun granted(
        agent: ProcessId,
        count: Int,
    ) {
        val candidate = agents[agent] ?: return
        services[candidate.service]?.granted(candidate, count)
    }

    /** Returns new requests for credits that are wanted and not yet expected. */
    fun newRequests(creditsWanted: (ServiceName) -> Int): List<HomeEffect.RequestCredits> =
        services.flatMap { (service, serviceAgents) -> serviceAgents.request(creditsWanted(service)) }

    /** Presumes that agents with outstanding credits are busy, and withdraws requests of services that want none. */
    fun tick(creditsWanted: (ServiceName) -> Int): List<HomeEffect.RequestCredits> =
        services.flatMap { (service, serviceAgents) ->
            serviceAgents.presumeBusy()
            if (creditsWanted(service) == 0) serviceAgents.withdraw() else emptyList()
        }

    private class Candidate(
        val agent: ProcessId,
        val service: ServiceName,
        val slots: Int,
    ) {
        /** Credits that were requested and not granted yet. */
        var outstanding = 0

        /** Whether the outstanding credits are expected, so that they are not requested from other agents as well. */
        var isExpected = false
    }

    private class ServiceAgents {
        /** Agents without an outstanding request. */
        val available = linkedSetOf<Candidate>()
        private val requested = linkedSetOf<Candidate>()

        /** Agents that granted requested credits since the last withdrawal. */
        private val granters = linkedSetOf<Candidate>()
        private var expected = 0

        fun request(wanted: Int): List<HomeEffect.RequestCredits> {
            var missing = wanted - expected
            if (missing <= 0) return emptyList()
            val requests = mutableListOf<HomeEffect.RequestCredits>()
            while (available.isNotEmpty() && (missing > 0 || requests.size < MIN_FAN_OUT_AGENTS)) {
                val request = request(available.first(), missing.coerceAtLeast(1))
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
            granters += candidate
            if (candidate.outstanding == 0) release(candidate)
        }

        fun presumeBusy() {
            if (expected == 0) return
            requested.forEach { it.isExpected = false }
            expected = 0
        }

        fun withdraw(): List<HomeEffect.RequestCredits> {
            val recipients = requested + granters
            granters.clear()
            return recipients.map { candidate ->
                release(candidate)
                HomeEffect.RequestCredits(candidate.agent, 0)
            }
        }

        fun remove(candidate: Candidate) {
            release(candidate)
            available.remove(candidate)
            granters.remove(candidate)
        }

        private fun request(
            candidate: Candidate,
            missing: Int,
        ): HomeEffect.RequestCredits {
            candidate.outstanding = minOf(missing, candidate.slots)
            candidate.isExpected = true
            expected += candidate.outstanding
            available.remove(candidate)
            requested += candidate
            return HomeEffect.RequestCredits(candidate.agent, candidate.outstanding)
        }

        private fun release(candidate: Candidate) {
            if (candidate.isExpected) expected -= candidate.outstanding
            candidate.isExpected = false
            candidate.outstanding = 0
            requested.remove(candidate)
            available += candidate
        }
    }

    private companion object {
        /** Even a single credit is requested from several agents, since one of them may be busy. */
        const val MIN_FAN_OUT_AGENTS = 4
    }
}
