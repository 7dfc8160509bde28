package io.egretlock.agent

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.Inspectable
import io.egretlock.process.OperatorsRoutes
import io.egretlock.process.ServedProcess
import io.egretlock.process.event
import io.egretlock.process.launchEssential
import io.egretlock.sockets.EventLoop
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.ConcurrentHashMap

private val logger = KotlinLogging.logger {}

/** A running agent: its state, its connections to entries and its two HTTP servers. */
internal class AgentProcess(
    private val settings: AgentSettings,
) : Inspectable,
    ServedProcess {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loop = EventLoop("sockets")
    private val client = HttpUpstreamClient()
    private val metrics = AgentMetrics()
    private val dialers = ConcurrentHashMap<NodeAddress, Job>()
    private val id = ProcessId(settings.name, System.currentTimeMillis())
    private val agent = Agent(id, settings, client, metrics, ::dial) { System.nanoTime() / NANOS_PER_MILLI }
    private val servers = listOf(announceServer(), operatorsServer())

    override val ready: Boolean
        get() = agent.ready

    override suspend fun start() {
        scope.launchEssential(logger, AgentEvent.COROUTINE_FAILED) { agent.run() }
        scope.launch { tick() }
        servers.forEach { it.start() }
        logger.event(AgentEvent.STARTED, "agent" to id, "failureDomain" to settings.failureDomain)
    }

    /** Starts no more tasks and waits up to [AgentSettings.drainMillis] for running tasks and acknowledgements. */
    override suspend fun stop() {
        val done = CompletableDeferred<Unit>()
        agent.commands.send(DrainRequested(done))
        val complete = withTimeoutOrNull(settings.drainMillis) { done.await() }
        if (complete == null) cancelRunningTasks(done)
        servers.forEach { it.stop() }
        client.close()
        scope.cancel()
        logger.event(AgentEvent.STOPPED)
    }

    /** Cancels the calls that are still running, so that entries are notified at once that no answer will arrive. */
    private suspend fun cancelRunningTasks(done: CompletableDeferred<Unit>) {
        logger.event(AgentEvent.DRAIN_INCOMPLETE)
        client.cancelAll()
        withTimeoutOrNull(ACKNOWLEDGEMENT_GRACE_MILLIS) { done.await() }
    }

    override suspend fun dump(): String {
        val reply = CompletableDeferred<AgentDump>()
        agent.commands.send(DumpRequested(reply))
        return Json.encodeToString(reply.await())
    }

    private fun dial(address: NodeAddress) {
        dialers.compute(address) { _, present ->
            present?.takeIf { it.isActive } ?: scope.launchEssential(logger, AgentEvent.COROUTINE_FAILED) {
                EntryDialer(address, settings.timing, loop, scope, agent.commands).run()
            }
        }
    }

    private suspend fun tick() {
        while (scope.isActive) {
            delay(TICK_MILLIS)
            agent.commands.send(Tick)
        }
    }

    private fun announceServer(): HttpServer =
        HttpServer(settings.announceAddress) { config ->
            UpstreamRoutes(agent.commands).addTo(config)
        }

    private fun operatorsServer(): HttpServer =
        HttpServer(settings.operatorsAddress) { config ->
            OperatorsRoutes(this, metrics.registry, settings.operatorToken).addTo(config)
        }

    private class HttpServer(
        private val address: NodeAddress,
        addRoutes: (JavalinConfig) -> Unit,
    ) {
        private val server =
            Javalin.create { config ->
                config.startup.showJavalinBanner = false
                config.jetty.threadPool = QueuedThreadPool(LARGEST_THREADS, 2)
                addRoutes(config)
            }

        fun start() {
            server.start(address.host, address.port)
        }

        fun stop() {
            server.stop()
        }
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val TICK_MILLIS = 500L
        const val ACKNOWLEDGEMENT_GRACE_MILLIS = 1_000L
        const val LARGEST_THREADS = 16
    }
}
