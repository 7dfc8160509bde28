package io.egretlock.testing.store

import io.egretlock.core.retry.Backoff
import io.egretlock.core.settings.teamSettings
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreOutcomeUnknownException
import io.egretlock.store.StoreSnapshot
import io.egretlock.store.SwapResult
import io.egretlock.store.settings.SettingsEditOutcome
import io.egretlock.store.settings.SettingsEditor
import io.egretlock.store.settings.SettingsRecord
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.emptyFlow
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.yield
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Concurrent edits of one key in a store that loses requests and answers and applies some writes late. */
class SettingsEditorRaceTest {
    private val seed = Integer.getInteger("egretlock.settings.seed", 1)

    @Test
    fun `given lost and late writes, when editors race, then each outcome agrees with what was stored`() {
        val random = Random(seed)
        repeat(ROUNDS) { round ->
            val store = UnreliableStore(random)
            val outcomes = race(store, random)
            store.applyLateWrites()
            val stored = store.writeIds()
            val wrong = outcomes.filterNot { (id, outcome) -> isConsistent(outcome, id in stored) }
            assertEquals(emptyMap<String, SettingsEditOutcome>(), wrong) { "seed $seed, round $round, stored $stored" }
            assertEquals(stored.distinct(), stored) { "seed $seed, round $round" }
        }
    }

    private fun isConsistent(
        outcome: SettingsEditOutcome,
        stored: Boolean,
    ): Boolean =
        when (outcome) {
            is SettingsEditOutcome.Accepted -> stored
            is SettingsEditOutcome.Conflict, is SettingsEditOutcome.Unavailable -> !stored
            is SettingsEditOutcome.Unknown -> true
        }

    private fun race(
        store: UnreliableStore,
        random: Random,
    ): Map<String, SettingsEditOutcome> {
        val outcomes = mutableMapOf<String, SettingsEditOutcome>()
        runBlocking {
            coroutineScope {
                repeat(EDITORS) { editor -> launch { edit(store, random, "editor-$editor", outcomes) } }
            }
        }
        return outcomes
    }

    private suspend fun edit(
        store: UnreliableStore,
        random: Random,
        name: String,
        outcomes: MutableMap<String, SettingsEditOutcome>,
    ) {
        repeat(EDITS) { number ->
            val id = "$name-$number"
            val editor = SettingsEditor(store, Backoff(1, 2), random) { id }
            val settings = teamSettings("haddad") { weight = 1.0 + number }
            outcomes[id] =
                editor.edit(settings, store.currentRevision(), 0, random.nextLong(1, LONGEST_DEADLINE_MILLIS))
        }
    }

    private class UnreliableStore(
        private val random: Random,
    ) : KeyValueStore {
        private val history = StoreHistory()
        private val lateWrites = mutableListOf<() -> Unit>()

        fun currentRevision(): Long = history.read(KEY, until = null).firstOrNull()?.revision ?: 0

        fun applyLateWrites() = lateWrites.forEach { it() }

        fun writeIds(): List<String> =
            history
                .changesAfter(KEY, until = null, afterRevision = 0, waitMillis = 1)
                .mapNotNull { SettingsRecord.decode(it).write?.id }

        override suspend fun read(
            prefix: String,
            changedAfter: Long,
        ): StoreSnapshot {
            yield()
            if (random.nextInt(FAULT_ONE_IN) == 0) throw StoreException("lost")
            return StoreSnapshot(history.read(prefix, until = null), history.revision)
        }

        override suspend fun compareAndSwap(
            key: String,
            expectedRevision: Long,
            value: String,
        ): SwapResult {
            yield()
            val write = { history.compareAndSwap(key, expectedRevision, value) }
            val fault = random.nextInt(FAULT_ONE_IN)
            if (fault == LOST_REQUEST) throw StoreOutcomeUnknownException(key)
            if (fault == LATE_WRITE) lateWrites += { write() }
            val stored = if (fault == LATE_WRITE) null else write()
            yield()
            if (fault == LATE_WRITE || fault == LOST_ANSWER) throw StoreOutcomeUnknownException(key)
            val current = history.read(key, until = null).firstOrNull()
            return if (stored == null) SwapResult.Conflict(current) else SwapResult.Stored(stored)
        }

        override fun watch(
            prefix: String,
            revision: Long,
        ): Flow<StoreEntry> = emptyFlow()
    }

    private companion object {
        const val KEY = "/egretlock/settings/haddad"
        const val ROUNDS = 100
        const val EDITORS = 4
        const val EDITS = 5
        const val LONGEST_DEADLINE_MILLIS = 20L
        const val FAULT_ONE_IN = 8
        const val LOST_REQUEST = 0
        const val LATE_WRITE = 1
        const val LOST_ANSWER = 2
    }
}
