package io.egretlock.testing.store

import io.egretlock.core.retry.Backoff
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.core.settings.teamSettings
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreOutcomeUnknownException
import io.egretlock.store.SwapResult
import io.egretlock.store.etcd.EtcdStore
import io.egretlock.store.etcd.EtcdStoreSettings
import io.egretlock.store.settings.SettingsEditOutcome
import io.egretlock.store.settings.SettingsEditor
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class SettingsEditorTest {
    private val standIn = StoreStandIn(NodeAddress("127.0.0.1", 0))
    private val store = EtcdStore(EtcdStoreSettings(listOf(standIn.address)))
    private val key = "/egretlock/settings/haddad"
    private val mine = settingsOfWeight(2.0)
    private val theirs = settingsOfWeight(3.0)

    @AfterEach
    fun closeBoth() {
        store.close()
        standIn.close()
    }

    @Test
    fun `given no settings, when edited at revision 0, then they are accepted at the new revision`() {
        assertEquals(SettingsEditOutcome.Accepted(StoredTeamSettings(2, mine)), edit(mine, expectedRevision = 0))
    }

    @Test
    fun `given many operators at one revision, when they race, then one wins and the others get its settings`() {
        val candidates = (1..RACING_OPERATORS).map { settingsOfWeight(it.toDouble()) }
        val outcomes = runBlocking { candidates.map { async { editor().edit(it, 0, 0, DEADLINE_MILLIS) } }.awaitAll() }
        val winner = outcomes.filterIsInstance<SettingsEditOutcome.Accepted>().single().stored
        val losers = outcomes.filterIsInstance<SettingsEditOutcome.Conflict>()
        assertEquals(List(RACING_OPERATORS - 1) { SettingsEditOutcome.Conflict(winner) }, losers)
    }

    @Test
    fun `given a lost answer, when the write is read back, then it is accepted and written once`() {
        standIn.faults = StoreFaults(lostAnswers = 1)
        assertEquals(SettingsEditOutcome.Accepted(StoredTeamSettings(2, mine)), edit(mine, expectedRevision = 0))
        assertEquals(2, standIn.history.revision)
    }

    @Test
    fun `given a lost answer and a later edit on top, when read back, then the write is still accepted`() {
        val interfering =
            InterferingStore(store) { write ->
                write()
                edit(theirs, expectedRevision = 2)
            }
        val outcome = edit(mine, expectedRevision = 0, through = interfering)
        assertEquals(SettingsEditOutcome.Accepted(StoredTeamSettings(3, theirs)), outcome)
    }

    @Test
    fun `given a write that never arrived and one of another operator, when read back, then it is a conflict`() {
        val interfering = InterferingStore(store) { edit(theirs, expectedRevision = 0) }
        val outcome = edit(mine, expectedRevision = 0, through = interfering)
        assertEquals(SettingsEditOutcome.Conflict(StoredTeamSettings(2, theirs)), outcome)
    }

    @Test
    fun `given a write that arrives after its repetition, when edited, then it takes effect once`() {
        val lateWrites = mutableListOf<suspend () -> SwapResult>()
        val interfering = InterferingStore(store) { write -> lateWrites += write }
        edit(mine, expectedRevision = 0, through = interfering)
        val repetition = runBlocking { lateWrites.single()() }
        assertEquals(2, standIn.history.revision)
        assertEquals(true, repetition is SwapResult.Conflict)
    }

    @Test
    fun `given a lost answer and a later write without an id, when read back, then the outcome is unknown`() {
        val interfering =
            InterferingStore(store) {
                standIn.history.put(key, """{"team":"haddad"}""")
                edit(theirs, expectedRevision = 2)
            }
        val outcome = edit(mine, expectedRevision = 0, through = interfering)
        assertEquals(SettingsEditOutcome.Unknown("Later writes do not tell whether this one happened."), outcome)
    }

    @Test
    fun `given a refusing store, when edited, then the edit is unavailable and nothing is stored`() {
        standIn.faults = StoreFaults(availability = StoreAvailability.REFUSING)
        val outcome = edit(mine, expectedRevision = 0, deadlineMillis = SHORT_DEADLINE_MILLIS)
        val detail = "The store gave no answer: The store answered HTTP 503."
        assertEquals(SettingsEditOutcome.Unavailable(detail), outcome)
        assertEquals(1, standIn.history.revision)
    }

    @Test
    fun `given a write that hangs, when the deadline passes, then the outcome is unknown`() {
        val hanging = InterferingStore(store) { awaitCancellation() }
        val outcome =
            edit(mine, expectedRevision = 0, through = hanging, deadlineMillis = SHORT_DEADLINE_MILLIS)
        assertEquals(SettingsEditOutcome.Unknown("The store did not answer in time."), outcome)
    }

    @Test
    fun `given a store restored to an older state, when edited, then the edit is unavailable`() {
        standIn.history.put(key, """{"team":"haddad"}""")
        val outcome =
            edit(mine, expectedRevision = 2, knownRevision = 9, deadlineMillis = SHORT_DEADLINE_MILLIS)
        assertEquals(SettingsEditOutcome.Unavailable("The store answers from revision 2, before 9."), outcome)
        assertEquals(2, standIn.history.revision)
    }

    private fun edit(
        settings: TeamSettings,
        expectedRevision: Long,
        through: KeyValueStore = store,
        knownRevision: Long = 0,
        deadlineMillis: Long = DEADLINE_MILLIS,
    ): SettingsEditOutcome =
        runBlocking { editor(through).edit(settings, expectedRevision, knownRevision, deadlineMillis) }

    private fun editor(through: KeyValueStore = store): SettingsEditor =
        SettingsEditor(through, Backoff(firstMillis = 5, maxMillis = 50))

    private fun settingsOfWeight(weight: Double): TeamSettings = teamSettings("haddad") { this.weight = weight }

    /** Loses the answer of the first write; [interfere] decides whether that write is executed, and may make others. */
    private class InterferingStore(
        private val store: KeyValueStore,
        private val interfere: suspend (suspend () -> SwapResult) -> Unit,
    ) : KeyValueStore by store {
        private var hasInterfered = false

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult {
            if (hasInterfered) return store.compareAndSwap(key, expectedRevision, value)
            hasInterfered = true
            interfere { store.compareAndSwap(key, expectedRevision, value) }
            throw StoreOutcomeUnknownException(key)
        }
    }

    private companion object {
        const val DEADLINE_MILLIS = 20_000L
        const val SHORT_DEADLINE_MILLIS = 300L
        const val RACING_OPERATORS = 8
    }
}
