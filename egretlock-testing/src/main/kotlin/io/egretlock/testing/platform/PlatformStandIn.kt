package io.egretlock.testing.platform

import io.egretlock.core.roster.NodeAddress
import io.egretlock.platform.http.CallFailedException
import io.egretlock.platform.http.HttpAnswer
import io.egretlock.platform.http.HttpCaller
import io.egretlock.platform.http.HttpServer
import io.egretlock.testing.system.FreePorts
import io.egretlock.testing.system.ManagedProcess
import io.egretlock.testing.system.ProcessLauncher
import io.egretlock.testing.system.freeAddress
import io.ktor.http.HttpMethod
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withContext
import kotlinx.coroutines.withTimeoutOrNull
import java.nio.file.Path
import java.util.concurrent.Executors
import kotlin.io.path.createDirectories
import kotlin.io.path.writeText

/**
 * The users' platform on loopback: a store, one upstream with its heartbeats, and the project's two programs as processes
 * of their own, started with the settings file that the platform would write.
 */
class PlatformStandIn(
    taskMillis: Long = 50,
) : AutoCloseable {
    private val executor = Executors.newSingleThreadExecutor()
    private val dispatcher = executor.asCoroutineDispatcher()
    private val scope = CoroutineScope(SupervisorJob() + dispatcher)
    private val selector = SelectorManager(Dispatchers.IO)
    private val launcher = ProcessLauncher()
    private val storeAddress = freeAddress()
    private val upstreamAddress = freeAddress()
    private val heartbeatAddress = freeAddress()
    private val callerAddress = freeAddress()
    private val readinessAddress = freeAddress()
    private val internalPort = FreePorts.next()

    val store = PlatformStoreStandIn()
    val upstream = PlatformUpstreamStandIn(taskMillis)
    lateinit var entry: ManagedProcess
        private set
    lateinit var agent: ManagedProcess
        private set

    /** Starts everything and waits until the entry is ready and the agent has cleared the upstream. */
    suspend fun start() {
        store.put("op/config", configuration(version = 1, "/check/"))
        HttpServer.bind(storeAddress.host, storeAddress.port, selector, scope, store::answer)
        HttpServer.bind(upstreamAddress.host, upstreamAddress.port, selector, scope, upstream::answer)
        startEntry()
        startAgent()
        scope.launch { beat() }
        until { get(readinessAddress, "/api/readiness") == HTTP_OK }
    }

    /** Starts the entry, again if it ran before. */
    fun startEntry() {
        val lines = listOf("bind_addrs.frontend=$callerAddress", "bind_addrs.readiness=$readinessAddress")
        entry = launcher.binary("egretlock-entry", "entry", listOf("serve"), boot("entry", lines))
    }

    /** Starts the agent, again if it ran before. */
    fun startAgent() {
        val lines = listOf("bind_addrs.control=$heartbeatAddress", "app=$upstreamAddress")
        agent = launcher.binary("egretlock-agent", "agent", listOf("serve"), boot("agent", lines))
    }

    /** Submits a job of [tasks] tasks and returns the status and body of the answer; null if there is none. */
    suspend fun submit(
        id: String,
        tasks: Int = 2,
        prefix: String = "/check/",
    ): HttpAnswer? {
        val step = """{"count":$tasks,"cpu":1000,"mem_mb":64,"est_runtime_ms":50}"""
        return call(callerAddress, HttpMethod.Post, "$prefix$id", """{"spec":"s","best_effort":true,"steps":[$step]}""")
    }

    /** Sends [body] to the agent as a heartbeat of the upstream [name]; returns the status. */
    suspend fun heartbeat(
        name: String,
        body: String,
    ): Int? = call(heartbeatAddress, HttpMethod.Post, "/api/Instances.Heartbeat/$name", body)?.status

    /** Status of the entry's readiness; null if it does not answer. */
    suspend fun readiness(): Int? = get(readinessAddress, "/api/readiness")

    /** The document of a configuration whose only queue has [prefix]. */
    fun configuration(
        version: Int,
        prefix: String,
    ): String =
        """{"version":$version,"routes":[{"name":"q","host":"$callerAddress","prefix":"$prefix","service":"s",""" +
            """"attempts":2,"priority":0,"slack_factor":1.6,"target_completion_ms":60000}],""" +
            """"limits":{"max_body_bytes":262144}}"""

    override fun close() {
        launcher.close()
        scope.cancel()
        selector.close()
        executor.shutdown()
    }

    private suspend fun beat() {
        var sequence = 0L
        while (true) {
            heartbeat("u-1", upstream.heartbeat("s", "$upstreamAddress", ++sequence))
            delay(BEAT_MILLIS)
        }
    }

    private suspend fun get(
        address: NodeAddress,
        path: String,
    ): Int? = call(address, HttpMethod.Get, path, "")?.status

    private suspend fun call(
        address: NodeAddress,
        method: HttpMethod,
        path: String,
        body: String,
    ): HttpAnswer? =
        withContext(dispatcher) {
            val caller = HttpCaller(address, selector, connectionLimit = 1)
            try {
                caller.call(method, path, body, CALL_MILLIS)
            } catch (failed: CallFailedException) {
                println("No answer: ${failed.message}")
                null
            } finally {
                caller.close()
            }
        }

    /** Waits until [condition] holds; throws after [CALL_MILLIS], also while a call that it makes is under way. */
    suspend fun until(condition: suspend () -> Boolean) {
        val held = withTimeoutOrNull(CALL_MILLIS) { while (!condition()) delay(BEAT_MILLIS) }
        checkNotNull(held) { "The condition did not come true within $CALL_MILLIS ms." }
    }

    private fun boot(
        name: String,
        lines: List<String>,
    ): Map<String, String> {
        val directory = Path.of("target/platform").toAbsolutePath().createDirectories()
        val file = directory.resolve("${ProcessHandle.current().pid()}-$internalPort-$name.conf")
        val common =
            listOf(
                "node_name=$name",
                "ip=127.0.0.1",
                "zone=marka",
                "internal_ports=$internalPort,$internalPort",
                "seeds=127.0.0.1:$internalPort",
                "platform.address=$storeAddress",
                "bounds.grace_s=6",
            )
        file.writeText((common + lines).joinToString("\n"))
        return mapOf("EGRETLOCK_BOOT" to file.toString())
    }

    private companion object {
        const val HTTP_OK = 200
        const val BEAT_MILLIS = 100L
        const val CALL_MILLIS = 60_000L
    }
}
