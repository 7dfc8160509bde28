package io.egretlock.entry.run

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.JobQueue
import io.egretlock.core.run.OwnershipTiming
import io.egretlock.core.run.QueueConfiguration
import io.egretlock.core.run.StepJob
import io.egretlock.core.run.StepJobOutcome
import io.egretlock.core.run.StepJobPolicies
import io.egretlock.core.run.StepJobService
import io.egretlock.platform.BootSettings
import io.egretlock.platform.CallerRequestHandler
import io.egretlock.platform.PlatformStore
import io.egretlock.platform.http.HttpClient
import io.egretlock.platform.http.HttpServer
import io.egretlock.platform.wire.WireConfiguration
import io.egretlock.process.ServedProcess
import io.egretlock.process.event
import io.egretlock.process.launchEssential
import io.egretlock.protocol.Link
import io.egretlock.protocol.LinkListener
import io.egretlock.protocol.RunAgentHello
import io.egretlock.protocol.RunEntryHello
import io.egretlock.protocol.RunLinkTiming
import io.egretlock.sockets.EventLoop
import io.egretlock.store.EntryDirectory
import io.egretlock.store.StoreException
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlin.random.Random

private val logger = KotlinLogging.logger {}

/** An entry on the users' platform. All of its coroutines and sockets share one thread. */
internal class RunEntryProcess(
    private val settings: BootSettings,
) : ServedProcess,
    StepJobService {
    private val loop = EventLoop("entry")
    private val scope = CoroutineScope(SupervisorJob() + loop)
    private val identity = ProcessId(settings.nodeName, System.currentTimeMillis())
    private val address = NodeAddress(settings.host, settings.firstPort)
    private val entry =
        RunEntry(
            identity,
            StepJobPolicies.default(Random.Default),
            ::nowMillis,
            System::currentTimeMillis,
            OwnershipTiming(settings.repeatMillis),
        )
    private val store = createStore(DIRECTORY_WATCH_MILLIS)
    private val directory = EntryDirectory(store, store)
    private val tracker =
        ConfigurationTracker(
            createStore(ConfigurationTracker.watchMillis(settings.configurationMillis)),
            PlatformStore.CONFIGURATION_PREFIX,
            WireConfiguration::decode,
        ) { configuration, _ ->
            onConfigurationApplied(configuration)
        }
    private val peers = EntryPeers(identity, settings.failureDomain, address, tracker, loop, scope, entry::tell)
    private val drain = EntryDrain(::nowMillis)
    private var isDirectoryDown = false

    override val configuration: QueueConfiguration?
        get() = tracker.current

    override val isReady: Boolean
        get() = configuration != null && !drain.isDraining

    override val isDraining: Boolean
        get() = drain.isDraining

    override suspend fun start() {
        scope.launchEssential(logger, RunEntryEvent.COROUTINE_FAILED) { entry.run() }
        scope.launchEssential(logger, RunEntryEvent.COROUTINE_FAILED) { tracker.run() }
        LinkListener.bind(address, loop, scope, TIMING, ::serve)
        val handler = CallerRequestHandler(this)
        val callersAddress = checkNotNull(settings.callers) { "An entry needs an address for callers." }
        val readinessAddress = checkNotNull(settings.readiness) { "An entry needs an address for readiness." }
        HttpServer.bind(callersAddress.host, callersAddress.port, loop, scope, handler::answer)
        HttpServer.bind(readinessAddress.host, readinessAddress.port, loop, scope) { handler.readiness() }
        scope.launch { peers.connect(settings.seeds.map { NodeAddress(it, settings.firstPort) }) }
        scope.launch { directory.keepRegistered(address, ::onDirectoryResult) }
        scope.launch { watchEntries() }
        logger.event(RunEntryEvent.STARTED, "entry" to identity)
    }

    /**
     * Accepts requests until the load balancer has noticed the drain, answers the active jobs, and returns before the
     * platform kills the process.
     */
    override suspend fun stop() {
        logger.event(RunEntryEvent.DRAINING, "jobs" to entry.activeJobCount)
        drain.begin(settings.graceMillis)
        while (!drain.canExit(entry.activeJobCount)) delay(POLL_MILLIS)
        logger.event(RunEntryEvent.STOPPED, "jobs" to entry.activeJobCount)
    }

    /** Connects to the seeds of the changed settings. Addresses of a running process do not change. */
    override fun reload() {
        scope.launch {
            val changed = BootSettings.readOrNull() ?: settings
            logger.event(RunEntryEvent.SETTINGS_CHANGED, "seeds" to changed.seeds)
            peers.connect(changed.seeds.map { NodeAddress(it, settings.firstPort) })
        }
    }

    override suspend fun submit(
        job: StepJob,
        queue: JobQueue,
        patienceMillis: Long?,
    ): StepJobOutcome {
        if (!drain.tryAcceptRequest()) return RunEntry.DRAINING_REFUSAL
        return entry.submit(job, queue, drain.limitPatience(patienceMillis))
    }

    override fun hasStarted(job: JobId): Boolean? = entry.hasStarted(job)

    override fun waitingCount(queue: String): Int = entry.waitingCount(queue)

    override fun cancel(job: JobId): Boolean {
        entry.tell(RunEntryInput.Cancelled(job))
        return hasStarted(job) != null
    }

    private suspend fun serve(link: Link) {
        when (val hello = link.incoming.receiveCatching().getOrNull()) {
            is RunAgentHello -> serveAgent(hello, link)
            is RunEntryHello -> peers.serve(link, hello)
            else -> link.close()
        }
    }

    private suspend fun serveAgent(
        hello: RunAgentHello,
        link: Link,
    ) {
        link.send(RunEntryHello(identity, settings.failureDomain, peers.knownAddresses))
        entry.tell(RunEntryInput.AgentConnected(hello, link))
        for (message in link.incoming) entry.tell(RunEntryInput.AgentMessage(link, message))
        entry.tell(RunEntryInput.AgentLost(link))
    }

    private fun onConfigurationApplied(configuration: QueueConfiguration) {
        entry.tell(RunEntryInput.QueuesChanged(configuration.routes.mapTo(HashSet()) { it.queue.name }))
        peers.announceVersion()
    }

    private suspend fun watchEntries() {
        while (true) {
            try {
                directory.watch().collect { peers.updateListed(it) }
            } catch (failure: StoreException) {
                onDirectoryResult(failure)
            }
            delay(STORE_RETRY_MILLIS)
        }
    }

    private fun onDirectoryResult(cause: StoreException?) {
        if (cause != null && !isDirectoryDown) logger.event(RunEntryEvent.DIRECTORY_OUTAGE, "cause" to cause.message)
        if (cause == null && isDirectoryDown) logger.event(RunEntryEvent.DIRECTORY_RECOVERED)
        isDirectoryDown = cause != null
    }

    private fun createStore(watchMillis: Long) = PlatformStore(createClient(), createClient(), watchMillis)

    private fun createClient() = HttpClient(settings.store, loop, connectionLimit = 1)

    private fun nowMillis(): Long = System.nanoTime() / NANOS_PER_MILLI

    private companion object {
        const val NANOS_PER_MILLI = 1_000_000L
        const val POLL_MILLIS = 20L
        const val STORE_RETRY_MILLIS = 500L

        /**
         * Time that a watch waits at the store for changes of the list. Longer than for the configuration, since
         * entries also name new entries to agents and to each other.
         */
        const val DIRECTORY_WATCH_MILLIS = 10_000L

        val TIMING = RunLinkTiming.TIMING
    }
}
