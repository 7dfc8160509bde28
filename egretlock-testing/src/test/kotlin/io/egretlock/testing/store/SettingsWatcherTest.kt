package io.egretlock.testing.store

import io.egretlock.core.retry.Backoff
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.core.settings.teamSettings
import io.egretlock.store.StoreException
import io.egretlock.store.etcd.EtcdStore
import io.egretlock.store.etcd.EtcdStoreSettings
import io.egretlock.store.settings.SettingsRecord
import io.egretlock.store.settings.SettingsWatcher
import io.egretlock.store.settings.SettingsWatcherListener
import io.egretlock.store.settings.SettingsWatcherTiming
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.cancel
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.CopyOnWriteArrayList

class SettingsWatcherTest {
    private val standIn = StoreStandIn(NodeAddress("127.0.0.1", 0))
    private val store = EtcdStore(EtcdStoreSettings(listOf(standIn.address), callMillis = CALL_MILLIS))
    private val scope = CoroutineScope(Dispatchers.Default)
    private val updates = Channel<StoredTeamSettings>(Channel.UNLIMITED)
    private val listener = RecordingListener()

    @AfterEach
    fun closeAll() {
        scope.cancel()
        store.close()
        standIn.close()
    }

    @Test
    fun `given stored settings, when watched, then they and all later ones arrive by revision`() {
        val first = put(weight = 1.0)
        start()
        assertEquals(first, next())
        val later = (2..20).map { put(weight = it.toDouble()) }
        assertEquals(later.last(), awaitRevision(later.last().revision))
    }

    @Test
    fun `given a watch that goes silent, when settings change, then they arrive and a new watch begins`() {
        start()
        assertEquals(put(weight = 1.0), next())
        await("the first watch") { standIn.calls.watches == 1L }
        standIn.silenceWatches()
        assertEquals(put(weight = 2.0), next())
        await("a second watch") { standIn.calls.watches >= 2 }
        assertEquals(put(weight = 3.0), next())
    }

    @Test
    fun `given a store that refuses for a while, when it returns, then changes made meanwhile arrive`() {
        start()
        assertEquals(put(weight = 1.0), next())
        standIn.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        await("the failure is reported") { listener.interruptions.isNotEmpty() }
        val meanwhile = put(weight = 2.0)
        standIn.faults = StoreFaults()
        assertEquals(meanwhile, next())
    }

    @Test
    fun `given a store that hangs for a while, when it returns, then changes made meanwhile arrive`() {
        start()
        assertEquals(put(weight = 1.0), next())
        standIn.faults = StoreFaults(availability = StoreAvailability.HANGING)
        await("the failure is reported") { listener.interruptions.isNotEmpty() }
        val meanwhile = put(weight = 2.0)
        standIn.faults = StoreFaults()
        assertEquals(meanwhile, next())
    }

    @Test
    fun `given reads from an older state, when watched, then they are reported and ignored`() {
        start()
        put(weight = 1.0)
        val newest = put(weight = 2.0)
        awaitRevision(newest.revision)
        standIn.faults = StoreFaults(readRevision = newest.revision - 1)
        await("the older state is reported") { listener.olderStates.isNotEmpty() }
        assertEquals(listOf(newest.revision - 1 to newest.revision), listener.olderStates.distinct())
        standIn.faults = StoreFaults()
        assertEquals(put(weight = 3.0), next())
    }

    @Test
    fun `given a store restored from a backup, when it reuses revisions, then none of them is applied`() {
        start()
        put(weight = 1.0)
        val newest = put(weight = 2.0)
        awaitRevision(newest.revision)
        standIn.history.restore(newest.revision - 1)
        put(weight = 9.0)
        put(weight = 3.0).let { assertEquals(it, next()) }
    }

    @Test
    fun `given a restored store with later changes of other teams, when read again, then no team reverts`() {
        start()
        put(weight = 1.0)
        val newest = put(weight = 2.0)
        awaitRevision(newest.revision)
        standIn.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        await("the failure is reported") { listener.interruptions.isNotEmpty() }
        standIn.history.restore(newest.revision - 1)
        val others = List(3) { standIn.history.put("/egretlock/settings/other", """{"team":"other"}""") }
        standIn.faults = StoreFaults()
        assertEquals(StoredTeamSettings(others.last(), teamSettings("other") { }), next())
        assertEquals(put(weight = 3.0), next())
    }

    @Test
    fun `given an unreadable or deleted value, when watched, then it is reported and the next valid one arrives`() {
        start()
        assertEquals(put(weight = 1.0), next())
        standIn.history.put(KEY, """{"team":"haddad","weight":-1}""")
        standIn.history.put(KEY, null)
        assertEquals(put(weight = 2.0), next())
        assertEquals(setOf(KEY), listener.unreadable.toSet())
    }

    @Test
    fun `given a key deleted and created again, when watched, then the new one arrives at its own higher revision`() {
        start()
        val deleted = put(weight = 1.0)
        assertEquals(deleted, next())
        val deletion = standIn.history.put(KEY, null)
        val created = put(weight = 2.0)
        assertEquals(created, next())
        assertTrue(created.revision > deletion)
    }

    @Test
    fun `given many watchers, when the store is down and recovers, then calls at most double the steady rate`() {
        val flows = List(WATCHERS) { SettingsWatcher(store, TIMING).updates() }
        flows.forEach { flow -> scope.launch { flow.collect { } } }
        await("all watch") { standIn.calls.watches >= WATCHERS }
        val steady = callsWithinWindow()
        standIn.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        val duringOutage = callsWithinWindow()
        standIn.faults = StoreFaults()
        val afterRecovery = callsWithinWindow()
        assertTrue(duringOutage <= 2 * steady, "$duringOutage calls in the outage, $steady in the steady state")
        assertTrue(afterRecovery <= 2 * steady, "$afterRecovery calls after the recovery, $steady in the steady state")
    }

    private fun callsWithinWindow(): Long {
        val before = standIn.calls.total
        runBlocking { delay(WINDOW_MILLIS) }
        return standIn.calls.total - before
    }

    private fun start() {
        scope.launch { SettingsWatcher(store, TIMING, listener = listener).updates().collect { updates.send(it) } }
    }

    private fun put(weight: Double): StoredTeamSettings {
        val settings: TeamSettings = teamSettings("haddad") { this.weight = weight }
        return StoredTeamSettings(standIn.history.put(KEY, SettingsRecord(settings, null).encode()), settings)
    }

    private fun next(): StoredTeamSettings = runBlocking { withTimeout(DEADLINE_MILLIS) { updates.receive() } }

    /** Receives updates up to [revision], checks that their revisions increase, and returns the last. */
    private fun awaitRevision(revision: Long): StoredTeamSettings {
        var last = next()
        while (last.revision < revision) {
            val following = next()
            assertTrue(following.revision > last.revision)
            last = following
        }
        return last
    }

    private fun await(
        description: String,
        condition: () -> Boolean,
    ) = runBlocking {
        val deadlineNanos = System.nanoTime() + DEADLINE_MILLIS * NANOS_PER_MILLI
        while (!condition()) {
            assertTrue(System.nanoTime() < deadlineNanos, "Not in time: $description.")
            delay(POLL_MILLIS)
        }
    }

    private class RecordingListener : SettingsWatcherListener {
        val interruptions = CopyOnWriteArrayList<StoreException>()
        val olderStates = CopyOnWriteArrayList<Pair<Long, Long>>()
        val unreadable = CopyOnWriteArrayList<String>()

        override fun onInterrupted(cause: StoreException) {
            interruptions += cause
        }

        override fun onStaleRead(
            revision: Long,
            knownRevision: Long,
        ) {
            olderStates += revision to knownRevision
        }

        override fun onUndecodable(
            key: String,
            cause: String,
        ) {
            unreadable += key
        }
    }

    private companion object {
        const val KEY = "/egretlock/settings/haddad"
        const val CALL_MILLIS = 1_000L
        const val DEADLINE_MILLIS = 20_000L
        const val POLL_MILLIS = 10L
        const val NANOS_PER_MILLI = 1_000_000L
        const val WATCHERS = 10
        const val WINDOW_MILLIS = 2_000L
        val TIMING = SettingsWatcherTiming(checkMillis = 400, backoff = Backoff(firstMillis = 100, maxMillis = 400))
    }
}
