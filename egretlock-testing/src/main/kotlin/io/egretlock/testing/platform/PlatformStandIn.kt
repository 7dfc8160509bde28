package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress
import io.egretlock.platform.http.HttpCallException
import io.egretlock.platform.http.HttpClient
import io.egretlock.platform.http.HttpClientResponse
import io.egretlock.platform.http.HttpServer
import io.egretlock.sockets.EventLoop
import io.egretlock.testing.system.FreePorts
import io.egretlock.testing.system.ProcessLauncher
import io.egretlock.testing.system.freeAddress
import io.ktor.http.HttpMethod
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.util.concurrent.Executors
import kotlin.random.Random

/**
 * Stands in for the users' platform on loopback: a store, entries, and agents with their upstreams. Entries and agents
 * run as separate processes, started with the settings file that the platform would write.
 *
 * Each entry has its own loopback address, since all instances use the same internal port.
 *
 * @param seed seed of the times that the upstreams take for stops.
 */
class PlatformStandIn(
    taskMillis: Long = 50,
    entryCount: Int = 1,
    agentCount: Int = 1,
    cores: Int = 16,
    private val targetMillis: Long = 60_000,
    seed: Long = 1,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor()
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val loop = EventLoop("sockets")
    private val launcher = ProcessLauncher()
    private val storeAddress = freeAddress()
    private val internalPort = FreePorts.next()
    private val random = Random(seed)

    /** Records the runs of all upstreams. */
    val runMonitor = RunMonitor()
    val store = PlatformStoreStandIn()
    val entries = List(entryCount) { entry(it) }
    val agents =
        List(agentCount) { agent(it) { PlatformUpstreamStandIn(taskMillis, cores, runMonitor, random) } }

    /** All instances. */
    val nodes: List<PlatformNode>
        get() = entries.map { it.node } + agents.map { it.node }

    /** Starts the store, the upstreams and all instances, and waits until the entries are ready. */
    suspend fun start() {
        configure(version = 1)
        HttpServer.bind(storeAddress.host, storeAddress.port, loop, scope, store::answer)
        agents.forEach { it.upstream.start() }
        nodes.forEach { it.start() }
        agents.indices.forEach { scope.launch { sendHeartbeats(it) } }
        entries.forEach { entry -> awaitUntil { readiness(entry) == HTTP_OK } }
    }

    /** Submits a job of [tasks] tasks and returns the answer; null if there is none. */
    suspend fun submit(
        id: String,
        tasks: Int = 2,
        prefix: String = "/check/",
        entry: PlatformEntry = entries.first(),
    ): HttpClientResponse? {
        val step = """{"count":$tasks,"cpu":1000,"mem_mb":64,"est_runtime_ms":50}"""
        return call(
            entry.callersAddress,
            HttpMethod.Post,
            "$prefix$id",
            """{"spec":"s","best_effort":true,"steps":[$step]}""",
        )
    }

    /** Sends [body] to the agent as a heartbeat of the upstream [name]; returns the status, null without an answer. */
    suspend fun heartbeat(
        name: String,
        body: String,
        agent: PlatformAgent = agents.first(),
    ): Int? = call(agent.heartbeatAddress, HttpMethod.Post, "/api/Instances.Heartbeat/$name", body)?.status

    /** HTTP status of the entry's readiness check; null without an answer. */
    suspend fun readiness(entry: PlatformEntry = entries.first()): Int? =
        call(entry.readinessAddress, HttpMethod.Get, "/api/readiness", "")?.status

    /** Stores a configuration whose only queue has [prefix] on all entries, as operators do. */
    fun configure(
        version: Int,
        prefix: String = "/check/",
    ) = store.put("op/config", configuration(version, prefix))

    private fun configuration(
        version: Int,
        prefix: String,
    ): String {
        val routes = entries.joinToString(",") { route(it, prefix) }
        return """{"version":$version,"routes":[$routes],"limits":{"max_body_bytes":262144}}"""
    }

    private fun route(
        entry: PlatformEntry,
        prefix: String,
    ): String =
        """{"name":"q","host":"${entry.callersAddress}","prefix":"$prefix","service":"s","attempts":2,"priority":0,""" +
            """"slack_factor":1.6,"target_completion_ms":$targetMillis}"""

    override fun close() {
        launcher.close()
        scope.cancel()
        loop.close()
        executor.shutdown()
    }

    private fun entry(index: Int): PlatformEntry {
        val callers = freeAddress()
        val readiness = freeAddress()
        val lines = listOf("bind_addrs.frontend=$callers", "bind_addrs.readiness=$readiness", "ip=${entryHost(index)}")
        return PlatformEntry(node("entry-$index", "egretlock-entry", lines), callers, readiness)
    }

    private fun agent(
        index: Int,
        incarnation: () -> PlatformUpstreamStandIn,
    ): PlatformAgent {
        val address = freeAddress()
        val heartbeats = freeAddress()
        val lines = listOf("bind_addrs.control=$heartbeats", "app=$address", "ip=127.0.0.1")
        val upstream = PlatformUpstream(address, loop, scope, incarnation)
        return PlatformAgent(node("agent-$index", "egretlock-agent", lines), upstream, heartbeats)
    }

    private fun node(
        name: String,
        module: String,
        lines: List<String>,
    ): PlatformNode {
        val common =
            listOf(
                "zone=marka",
                "internal_ports=$internalPort,$internalPort",
                "seeds=${entryHost(0)}:$internalPort",
                "platform.address=$storeAddress",
                "bounds.grace_s=6",
            )
        return PlatformNode(name, module, launcher, common + lines)
    }

    private fun entryHost(index: Int) = "127.0.0.${index + 1}"

    private suspend fun sendHeartbeats(index: Int) {
        val agent = agents[index]
        while (true) {
            agent.upstream.nextHeartbeat("s")?.let { heartbeat("u-$index", it, agent) }
            delay(INTERVAL_MILLIS)
        }
    }

    private suspend fun call(
        address: NodeAddress,
        method: HttpMethod,
        path: String,
        body: String,
    ): HttpClientResponse? =
        withContext(dispatcher) {
            val client = HttpClient(address, loop, connectionLimit = 1)
            try {
                client.call(method, path, body, TIMEOUT_MILLIS)
            } catch (failed: HttpCallException) {
                println("No answer: ${failed.message}")
                null
            } finally {
                client.close()
            }
        }

    /** Waits until [condition] holds; throws after [TIMEOUT_MILLIS], also during a call that [condition] makes. */
    suspend fun awaitUntil(condition: suspend () -> Boolean) {
        val met = withTimeoutOrNull(TIMEOUT_MILLIS) { while (!condition()) delay(INTERVAL_MILLIS) }
        checkNotNull(met) { "The condition was not met within $TIMEOUT_MILLIS ms." }
    }

    private companion object {
        const val HTTP_OK = 200
        const val INTERVAL_MILLIS = 100L
        const val TIMEOUT_MILLIS = 60_000L
    }
}
