package io.egretlock.agent.run

import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.FencingToken
import io.egretlock.core.run.UpstreamStatus
import io.egretlock.platform.BootSettings
import io.egretlock.platform.HeartbeatReceiver
import io.egretlock.platform.PlatformStore
import io.egretlock.platform.UpstreamCalls
import io.egretlock.platform.UpstreamHeartbeats
import io.egretlock.platform.http.HttpCaller
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
            upstreamCalls(),
            scope,
            FencingToken(identity.incarnation),
            settings.nodeName,
            settings.failureDomain,
            ::nowMillis,
        )
    private val dialers =
        EntryDialers(identity, settings.failureDomain, loop, scope, ::nowMillis, agent::tell)

    override suspend fun start() {
        scope.launchEssential(logger, RunAgentEvent.TASK_FAILED) { agent.run() }
        val heartbeats = UpstreamHeartbeats(Receiver())
        settings.heartbeats?.let { HttpServer.bind(it.host, it.port, loop, scope, heartbeats::answer) }
        scope.launch {
            dialers.know(settings.seeds.map { NodeAddress(it, settings.firstPort) })
            watchEntries()
        }
        logger.event(RunAgentEvent.STARTED, "agent" to identity, "upstream" to upstream)
    }

    /** Takes no more runs, waits for those that are at work, and ends before the platform ends the process by force. */
    override suspend fun stop() {
        logger.event(RunAgentEvent.DRAINING, "runs" to agent.runCount)
        agent.tell(RunAgentInput.Drain)
        val endAt = nowMillis() + settings.graceMillis - STOP_MARGIN_MILLIS
        delay(SETTLE_MILLIS)
        while (agent.runCount > 0 && nowMillis() < endAt) delay(POLL_MILLIS)
        delay(SETTLE_MILLIS)
        logger.event(RunAgentEvent.STOPPED, "runs" to agent.runCount)
    }

    /** Takes the seeds that the settings name now. Addresses of a running process do not change. */
    override fun reload() {
        scope.launch {
            val changed = BootSettings.readOrNull() ?: settings
            logger.event(RunAgentEvent.SETTINGS_CHANGED, "seeds" to changed.seeds)
            dialers.know(changed.seeds.map { NodeAddress(it, settings.firstPort) })
        }
    }

    private fun upstreamCalls(): UpstreamCalls =
        UpstreamCalls(
            orders = HttpCaller(upstream, loop, ORDER_CONNECTIONS),
            renewals = HttpCaller(upstream, loop, connectionLimit = 1),
        )

    private suspend fun watchEntries() {
        val store = PlatformStore(caller(), caller(), WATCH_MILLIS)
        val directory = EntryDirectory(store, store)
        var isLost = false
        while (true) {
            try {
                directory.watch().collect { addresses ->
                    if (isLost) logger.event(RunAgentEvent.DIRECTORY_REGAINED, "entries" to addresses)
                    isLost = false
                    dialers.listed(addresses)
                }
            } catch (failure: StoreException) {
                if (!isLost) logger.event(RunAgentEvent.DIRECTORY_LOST, "cause" to failure.message)
                isLost = true
            }
            delay(STORE_RETRY_MILLIS)
        }
    }

    private fun caller() = HttpCaller(settings.store, loop, connectionLimit = 1)

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private inner class Receiver : HeartbeatReceiver {
        override fun announced(status: UpstreamStatus) = agent.tell(RunAgentInput.Announced(status))

        override fun departed(name: String) = agent.tell(RunAgentInput.Departed(name))
    }

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L

        /** Connections for orders. New connections to an upstream are priced; orders take about a millisecond each. */
        const val ORDER_CONNECTIONS = 4

        /** Time before the end by force at which the process ends by itself. */
        const val STOP_MARGIN_MILLIS = 500L

        /** Time in which messages that were just written leave the process. */
        const val SETTLE_MILLIS = 100L
        const val POLL_MILLIS = 20L
        const val STORE_RETRY_MILLIS = 500L

        /** Entries tell of each other too, so that a watch that went silent is not missed. */
        const val WATCH_MILLIS = 10_000L
    }
}
