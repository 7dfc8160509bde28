package io.egretlock.testing.system

import io.egretlock.core.job.ServiceName
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.ServiceSettings
import io.egretlock.testing.store.StoreStandIn
import io.egretlock.testing.upstream.UpstreamTraits

/** Builds a whole system of processes on loopback and starts it; see [SystemBuilder]. */
fun startSystem(describe: SystemBuilder.() -> Unit): TestSystem = SystemBuilder().apply(describe).start()

/** Describes a system: its failure domains with the entries and agents in them, and its teams. */
class SystemBuilder {
    private val launcher = ProcessLauncher()
    private val store = StoreStandIn(NodeAddress("127.0.0.1", 0))
    private val entries = mutableListOf<EntryNode>()
    private val agentMakers = mutableListOf<() -> AgentNode>()
    private val teams = mutableListOf<TeamPermission>()

    /** Times that both binaries are started with. */
    var timing = SystemTiming()

    /** Whether a [io.egretlock.testing.link.FaultyLink] is put in front of each entry. */
    var faultyLinks = false

    /** Adds a failure domain. */
    fun failureDomain(
        name: String,
        describe: FailureDomainBuilder.() -> Unit,
    ) = FailureDomainBuilder(name).describe()

    /** Lets [team] submit to [service], where up to [concurrency] of its tasks run at once. */
    fun team(
        team: String,
        service: String,
        concurrency: Int = ServiceSettings(ServiceName(service)).concurrency,
    ) {
        teams += TeamPermission(team, service, concurrency)
    }

    internal fun start(): TestSystem {
        val system = TestSystem(launcher, store, entries, agentMakers.map { it() }, teams)
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
            entries += EntryNode(name, failureDomain, "http://${store.address}", timing, launcher, faultyLinks)
        }

        /** Adds an agent with an upstream inside the test's own process. */
        fun agent(
            name: String,
            upstream: UpstreamTraits,
        ) = addAgent(name) { address -> EmbeddedUpstream(upstream, address) }

        /** Adds an agent with an upstream in a process of its own. */
        fun agentWithUpstreamProcess(
            name: String,
            upstream: UpstreamTraits,
        ) = addAgent(name) { address -> ProcessUpstream(launcher, "$name-upstream", upstream, address) }

        private fun addAgent(
            name: String,
            upstreamOf: (String) -> UpstreamNode,
        ) {
            agentMakers += { AgentNode(name, failureDomain, entries, timing, launcher, upstreamOf) }
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
