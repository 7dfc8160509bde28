package io.egretlock.testing.system

import io.egretlock.core.job.ServiceName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.testing.store.StoreStandIn
import io.egretlock.testing.upstream.UpstreamStandInOptions

/** Builds a complete system of processes on loopback and starts it; see [SystemBuilder]. */
fun startSystem(describe: SystemBuilder.() -> Unit): TestSystem = SystemBuilder().apply(describe).start()

/** Describes a system: its failure domains with their entries and agents, and its teams. */
class SystemBuilder {
    private val launcher = ProcessLauncher()
    private val store = StoreStandIn(NodeAddress("127.0.0.1", 0))
    private val entries = mutableListOf<EntryNode>()
    private val agentFactories = mutableListOf<() -> AgentNode>()
    private val teams = mutableListOf<TeamPermission>()

    /** Timing that entries and agents are started with. */
    var timing = SystemTiming()

    /** Whether each entry has a [io.egretlock.testing.link.FaultyLink] in front of it. */
    var hasFaultyLinks = false

    /** Adds a failure domain. */
    fun failureDomain(
        name: String,
        describe: FailureDomainBuilder.() -> Unit,
    ) = FailureDomainBuilder(name).describe()

    /** Allows [team] to submit to [service], where up to [concurrency] of its tasks run at once. */
    fun team(
        team: String,
        service: String,
        concurrency: Int = ServiceSettings(ServiceName(service)).concurrency,
    ) {
        teams += TeamPermission(team, service, concurrency)
    }

    internal fun start(): TestSystem {
        val system = TestSystem(launcher, store, entries, agentFactories.map { it() }, teams)
        try {
            system.start()
        } catch (failure: Throwable) {
            system.close()
            throw failure
        }
        return system
    }

    /** Describes one failure domain. */
    inner class FailureDomainBuilder(
        private val failureDomain: String,
    ) {
        /** Adds an entry. */
        fun entry(name: String) {
            entries += EntryNode(name, failureDomain, "http://${store.address}", timing, launcher, hasFaultyLinks)
        }

        /** Adds an agent with an upstream in the process of the test. */
        fun agent(
            name: String,
            upstream: UpstreamStandInOptions,
        ) = addAgent(name) { address -> EmbeddedUpstream(upstream, address) }

        /** Adds an agent with an upstream in a separate process. */
        fun agentWithUpstreamProcess(
            name: String,
            upstream: UpstreamStandInOptions,
        ) = addAgent(name) { address -> ProcessUpstream(launcher, "$name-upstream", upstream, address) }

        private fun addAgent(
            name: String,
            upstreamFactory: (String) -> UpstreamNode,
        ) {
            agentFactories += { AgentNode(name, failureDomain, entries, timing, launcher, upstreamFactory) }
        }
    }
}

/**
 * A team and a service that it may submit to.
 *
 * @property concurrency tasks of the team that may run there at once.
 */
data class TeamPermission(
    val team: String,
    val service: String,
    val concurrency: Int,
)
