package io.egretlock.entry

import io.egretlock.core.home.Home
import io.egretlock.core.home.ServiceDispatchers
import io.egretlock.core.job.ProcessId
import io.egretlock.core.placement.EntryShare
import io.egretlock.core.placement.fairDispatcher
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Roster
import io.egretlock.core.roster.RosterHistory
import io.egretlock.core.roster.RosterInput
import io.egretlock.core.roster.RosterStateMachine
import io.egretlock.core.roster.RosterTiming
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.process.Inspectable
import io.egretlock.process.OperatorsRoutes
import io.egretlock.process.ServedProcess
import io.egretlock.process.event
import io.egretlock.process.launchEssential
import io.egretlock.protocol.EntryHello
import io.egretlock.protocol.LinkListener
import io.egretlock.protocol.Message
import io.egretlock.protocol.SettingsUpdate
import io.egretlock.sockets.EventLoop
import io.egretlock.store.KeyValueStore
import io.egretlock.store.RateLimitedStore
import io.egretlock.store.StoreRateLimiter
import io.egretlock.store.StoreRateLimits
import io.egretlock.store.settings.SettingsEditor
import io.egretlock.store.settings.SettingsWatcher
import io.github.oshai.kotlinlogging.KotlinLogging
import io.javalin.Javalin
import io.javalin.config.JavalinConfig
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import org.eclipse.jetty.util.thread.QueuedThreadPool

private val logger = KotlinLogging.logger {}

/** An entry process: creates and connects its components, starts them and shuts them down gracefully. */
internal class EntryProcess(
    private val settings: EntrySettings,
    platformStore: KeyValueStore,
) : Inspectable,
    ServedProcess {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val loop = EventLoop("sockets")
    private val self = EntryMember(ProcessId(settings.name, System.currentTimeMillis()), settings.advertisedLinkAddress)
    private val registry = PrometheusRegistry()
    private val store = RateLimitedStore(platformStore, StoreRateLimiter(StoreRateLimits(), registry))
    private val drain = Drain(::monotonicMillis)
    private val metrics = EntryMetrics(registry)
    private val jobs = Home(ServiceDispatchers { service -> fairDispatcher(service) })
    private val home = HomeTask(self, jobs, metrics, ::monotonicMillis)
    private val settingsTracker = SettingsTracker(::settingsChanged)
    private val settingsWatcher = SettingsWatcher(store, listener = SettingsWatchLog(settingsTracker))
    private val messageRouter = PeerMessageRouter(settingsTracker, ::rosterInput)
    private val peers =
        PeerConnections(EntryHello(self.entry, self.address), messageRouter, loop, settings.timing, scope)
    private val roster = rosterTask()
    private val handover = HandoverSignal()
    private val router = JobRouter(roster, home, peers, handover, ::monotonicMillis)
    private val linkServer = LinkServer(self.entry, home, router, sharedState(), messageRouter, roster, drain, scope)
    private val callers = server { config -> JobRoutes(router, drain, metrics, scope).addTo(config) }
    private val operators =
        server { config ->
            OperatorsRoutes(this, registry, settings.operatorToken).addTo(config)
            OutcomeRoutes(router, { roster.otherMembers }, scope).addTo(config)
            SettingsRoutes(settingsTracker, SettingsEditor(store), settings.teamTokens, drain, scope).addTo(config)
        }
    private var listener: LinkListener? = null

    override val ready: Boolean
        get() = !drain.isDraining && roster.view.history != null

    override suspend fun start() {
        metrics.observeLiveJobs { jobs.liveJobs }
        scope.launchEssential(logger, EntryEvent.COROUTINE_FAILED) { home.run() }
        scope.launchEssential(logger, EntryEvent.COROUTINE_FAILED) { joinOnceSettingsKnown() }
        scope.launchEssential(logger, EntryEvent.COROUTINE_FAILED) { settingsTracker.run(settingsWatcher.updates()) }
        listener = LinkListener.bind(settings.linkAddress, loop, scope, settings.timing, linkServer::serve)
        callers.start(settings.callersAddress.host, settings.callersAddress.port)
        operators.start(settings.operatorsAddress.host, settings.operatorsAddress.port)
        logger.event(EntryEvent.STARTED, "entry" to self.entry, "failureDomain" to settings.failureDomain)
    }

    /** Hands over the claims or stops claiming, answers the jobs in flight, then stops. */
    override suspend fun stop() {
        drain.begin()
        logger.event(EntryEvent.DRAINING, "requests" to drain.requestsInFlight)
        val coordinator = HandoverCoordinator(self, roster, home, peers, handover)
        coordinator.begin()
        val drained = withTimeoutOrNull(settings.drainMillis) { awaitDrained() }
        if (drained == null) logger.event(EntryEvent.DRAIN_TIMED_OUT, "requests" to drain.requestsInFlight)
        coordinator.finish()
        callers.stop()
        operators.stop()
        listener?.close()
        scope.cancel()
        loop.close()
        logger.event(EntryEvent.STOPPED, "entry" to self.entry)
    }

    override suspend fun dump(): String {
        val reply = CompletableDeferred<HomeDump>()
        home.send(HomeInput.Dump(reply))
        return json.encodeToString(EntryDump(self, ready, drain.requestsInFlight, roster.view, reply.await()))
    }

    /**
     * Waits until nothing is in flight. The load balancer sends requests until it has noticed that `/ready` has
     * changed, and a caller may use an idle connection at any time until an answer has announced its end.
     */
    private suspend fun awaitDrained() {
        while (!drain.isIdle(settings.noticeMillis) || liveJobs() > 0 || openConnections() > 0) {
            delay(DRAIN_CHECK_INTERVAL_MILLIS)
        }
    }

    private fun openConnections(): Int =
        callers
            .jettyServer()
            .server()
            .connectors
            .sumOf { it.connectedEndPoints.size }

    private suspend fun liveJobs(): Int {
        val reply = CompletableDeferred<HomeDump>()
        home.send(HomeInput.Dump(reply))
        return reply.await().liveJobs.size
    }

    private fun rosterTask(): RosterTask {
        val stateMachine = RosterStateMachine(self, RosterTiming())
        val rosterStore = RosterStore(store, System::currentTimeMillis)
        return RosterTask(self, stateMachine, rosterStore, rosterNetwork(), scope, System::currentTimeMillis)
    }

    private fun rosterInput(input: RosterInput) = roster.send(input)

    private fun rosterNetwork() =
        object : RosterNetwork {
            override fun tell(
                member: EntryMember,
                message: Message,
            ) = peers.tell(member, message)

            override fun rostersChanged(history: RosterHistory) = rosterAdopted(history.newest)
        }

    private fun rosterAdopted(newest: Roster) {
        peers.connectOnly(newest.members.filter { it.entry != self.entry })
        home.send(HomeInput.RostersChanged(roster.newestRosters))
        val position = newest.members.indexOf(self)
        if (position >= 0) home.send(HomeInput.EntriesChanged(EntryShare(position, newest.members.size)))
    }

    /** Other entries forward jobs as soon as this entry is in the roster, so it joins only with settings in force. */
    private suspend fun joinOnceSettingsKnown() {
        settingsTracker.awaitSettings()
        roster.run()
    }

    private fun settingsChanged(applied: List<StoredTeamSettings>) {
        applied.forEach { home.send(HomeInput.Settings(it)) }
        roster.otherMembers.forEach { peers.tell(it, SettingsUpdate(applied)) }
    }

    private fun sharedState() =
        object : SharedState {
            override fun rosters(): List<Roster> = roster.newestRosters

            override fun settings(): List<StoredTeamSettings> = settingsTracker.table.all()
        }

    private fun server(routes: (JavalinConfig) -> Unit): Javalin =
        Javalin.create { config ->
            config.startup.showJavalinBanner = false
            config.jetty.threadPool = QueuedThreadPool(MAX_SERVER_THREADS, MIN_SERVER_THREADS)
            config.http.maxRequestSize = JobLimits().maxBodyBytes.toLong()
            routes(config)
        }

    private companion object {
        const val DRAIN_CHECK_INTERVAL_MILLIS = 20L
        const val MAX_SERVER_THREADS = 16
        const val MIN_SERVER_THREADS = 4
        const val NANOS_PER_MILLI = 1_000_000L
        val json = Json { encodeDefaults = true }

        fun monotonicMillis(): Long = System.nanoTime() / NANOS_PER_MILLI
    }
}
