package io.egretlock.agent.run

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.FencingToken
import io.egretlock.core.run.UpstreamStatus
import io.egretlock.platform.BootSettings
import io.egretlock.platform.HeartbeatHandler
import io.egretlock.platform.HeartbeatListener
import io.egretlock.platform.PlatformStore
import io.egretlock.platform.PlatformUpstreamClient
import io.egretlock.platform.http.HttpClient
import io.egretlock.platform.http.HttpServer
import io.egretlock.process.ServedProcess
import io.egretlock.process.event
import io.egretlock.process.launchEssential
import io.egretlock.sockets.EventLoop
import io.egretlock.store.EntryDirectory
import io.egretlock.store.StoreException
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

private val logger = KotlinLogging.logger {}

/** An agent on the users' platform. All of its coroutines and sockets share one thread. */
internal class RunAgentProcess(
    private val settings: BootSettings,
) : ServedProcess {
    private val loop = EventLoop("agent")
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val identity = ProcessId(settings.nodeName, System.currentTimeMillis())
    private val upstream = checkNotNull(settings.upstream) { "An agent needs the address of its upstream." }
    private val agent =
        RunAgent(
            createUpstreamClient(),
            scope,
            FencingToken(identity.incarnation),
            settings.nodeName,
            settings.failureDomain,
            ::nowMillis,
        )
    private val connector =
        EntryConnector(identity, settings.failureDomain, loop, scope, ::nowMillis, agent::tell)

    override suspend fun start() {
        scope.launchEssential(logger, RunAgentEvent.COROUTINE_FAILED) { agent.run() }
        val heartbeats = HeartbeatHandler(Listener())
        settings.heartbeats?.let { HttpServer.bind(it.host, it.port, loop, scope, heartbeats::answer) }
        scope.launch {
            connector.connect(settings.seeds.map { NodeAddress(it, settings.firstPort) })
            watchEntries()
        }
        logger.event(RunAgentEvent.STARTED, "agent" to identity, "upstream" to upstream)
    }

    /** Refuses new runs, waits for the active ones, and returns before the platform kills the process. */
    override suspend fun stop() {
        logger.event(RunAgentEvent.DRAINING, "runs" to agent.runCount)
        agent.tell(RunAgentInput.Drain)
        val endAt = nowMillis() + settings.graceMillis - STOP_MARGIN_MILLIS
        delay(FLUSH_MILLIS)
        while (agent.runCount > 0 && nowMillis() < endAt) delay(POLL_MILLIS)
        delay(FLUSH_MILLIS)
        logger.event(RunAgentEvent.STOPPED, "runs" to agent.runCount)
    }

    /** Connects to the seeds of the changed settings. Addresses of a running process do not change. */
    override fun reload() {
        scope.launch {
            val changed = BootSettings.readOrNull() ?: settings
            logger.event(RunAgentEvent.SETTINGS_CHANGED, "seeds" to changed.seeds)
            connector.connect(changed.seeds.map { NodeAddress(it, settings.firstPort) })
        }
    }

    private fun createUpstreamClient(): PlatformUpstreamClient =
        PlatformUpstreamClient(
            orders = HttpClient(upstream, loop, ORDER_CONNECTIONS),
            renewals = HttpClient(upstream, loop, connectionLimit = 1),
        )

    private suspend fun watchEntries() {
        val store = PlatformStore(createClient(), createClient(), WATCH_MILLIS)
        val directory = EntryDirectory(store, store)
        var isDown = false
        while (true) {
            try {
                directory.watch().collect { addresses ->
                    if (isDown) logger.event(RunAgentEvent.DIRECTORY_RECOVERED, "entries" to addresses)
                    isDown = false
                    connector.updateListed(addresses)
                }
            } catch (failure: StoreException) {
                if (!isDown) logger.event(RunAgentEvent.DIRECTORY_OUTAGE, "cause" to failure.message)
                isDown = true
            }
            delay(STORE_RETRY_MILLIS)
        }
    }

    private fun createClient() = HttpClient(settings.store, loop, connectionLimit = 1)

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private inner class Listener : HeartbeatListener {
        override fun onHeartbeat(status: UpstreamStatus) = agent.tell(RunAgentInput.HeartbeatReceived(status))

        override fun onDeregistration(name: String) = agent.tell(RunAgentInput.UpstreamDeregistered(name))
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Connections for starts and stops. The platform charges for new ones; a call takes about a millisecond. */
        const val ORDER_CONNECTIONS = 4

        /** Time before the platform kills the process at which [stop] no longer waits for runs. */
        const val STOP_MARGIN_MILLIS = 500L

        /** Time for messages that were just written to leave the process. */
        const val FLUSH_MILLIS = 100L
        const val POLL_MILLIS = 20L
        const val STORE_RETRY_MILLIS = 500L

        /**
         * Time that a watch waits at the store for changes. An agent learns of entries also from other entries, so a
         * watch whose connection went silent may be noticed late.
         */
        const val WATCH_MILLIS = 10_000L
    }
}
