package io.egretlock.store.settings

import io.egretlock.core.retry.Backoff
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.core.settings.TeamSettings
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreOutcomeUnknownException
import io.egretlock.store.SwapResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import java.util.UUID
import kotlin.random.Random

/**
 * Writes validated settings to the store by compare-and-swap.
 *
 * If the answer to a write is lost, the editor reads the key to find out whether the write took effect: the record has
 * the ids of its own write and of those that it replaced. Failed calls are retried with backoff until the caller's
 * deadline.
 */
class SettingsEditor(
    private val store: KeyValueStore,
    private val backoff: Backoff = Backoff(FIRST_DELAY_MILLIS, LARGEST_DELAY_MILLIS),
    private val random: Random = Random.Default,
    private val newWriteId: () -> String = { UUID.randomUUID().toString() },
) {
    /**
     * Stores [settings] if the team's key is still at [expectedRevision], which is 0 for a team without settings.
     * Returns within [deadlineMillis]. Does not write to a store whose state is older than [knownRevision].
     */
    suspend fun edit(
        settings: TeamSettings,
        expectedRevision: Long,
        knownRevision: Long,
        deadlineMillis: Long,
    ): SettingsEditOutcome {
        val edit = Edit(settings, expectedRevision, knownRevision, newWriteId())
        return withTimeoutOrNull(deadlineMillis) { edit.runUntilSettled() } ?: edit.outcomeAtDeadline()
    }

    private inner class Edit(
        private val settings: TeamSettings,
        private val expectedRevision: Long,
        private val knownRevision: Long,
        private val writeId: String,
    ) {
        private val key = SettingsRecord.keyOf(settings.team)
        private var mayHaveTakenEffect = false
        private var lastFailure = "The store did not answer in time."

        suspend fun runUntilSettled(): SettingsEditOutcome {
            var failures = 0
            while (true) {
                val outcome =
                    try {
                        attempt()
                    } catch (failure: StoreException) {
                        lastFailure = failure.message.orEmpty()
                        null
                    }
                if (outcome != null) return outcome
                failures++
                delay(backoff.delayMillis(failures, random))
            }
        }

        fun outcomeAtDeadline(): SettingsEditOutcome =
            if (mayHaveTakenEffect) {
                SettingsEditOutcome.Unknown(lastFailure)
            } else {
                SettingsEditOutcome.Unavailable(lastFailure)
            }

        /** Reads the key, then writes it unless it has changed. Returns null if the answer to the write was lost. */
        private suspend fun attempt(): SettingsEditOutcome? {
            val snapshot = store.read(key)
            if (snapshot.revision < knownRevision) {
                throw StoreException("The store answers from revision ${snapshot.revision}, before $knownRevision.")
            }
            val present = snapshot.entries.firstOrNull { it.key == key }
            return if (isAtExpectedRevision(present)) write(present) else outcomeAfterChange(present)
        }

        private fun isAtExpectedRevision(present: StoreEntry?): Boolean = (present?.revision ?: 0) == expectedRevision

        private suspend fun write(present: StoreEntry?): SettingsEditOutcome? {
            val record = SettingsRecord(settings, WriteHistory(writeId, earlierWrites(present)))
            val mayHaveTakenEffectBefore = mayHaveTakenEffect
            mayHaveTakenEffect = true
            return try {
                when (val result = store.compareAndSwap(key, expectedRevision, record.encode())) {
                    is SwapResult.Stored -> SettingsEditOutcome.Accepted(StoredTeamSettings(result.revision, settings))
                    is SwapResult.Conflict -> {
                        mayHaveTakenEffect = mayHaveTakenEffectBefore
                        outcomeAfterChange(result.current)
                    }
                }
            } catch (lost: StoreOutcomeUnknownException) {
                lastFailure = lost.message.orEmpty()
                null
            } catch (failure: StoreException) {
                mayHaveTakenEffect = mayHaveTakenEffectBefore
                throw failure
            }
        }

        /** Outcome once the key has another revision than expected, after which no write of this edit can succeed. */
        private fun outcomeAfterChange(present: StoreEntry?): SettingsEditOutcome {
            val record = present?.let(::decodeOrNull)
            val current = record?.let { StoredTeamSettings(present.revision, it.settings) }
            return when {
                !mayHaveTakenEffect -> SettingsEditOutcome.Conflict(current)
                record?.write?.contains(writeId) == true -> SettingsEditOutcome.Accepted(checkNotNull(current))
                record?.write?.let(::reachesExpectedRevision) == true -> SettingsEditOutcome.Conflict(current)
                else -> SettingsEditOutcome.Unknown("Later writes do not tell whether this one happened.")
            }
        }

        /** Whether [history] reaches back to the revision that this edit was to replace. */
        private fun reachesExpectedRevision(history: WriteHistory): Boolean =
            history.earlier.any { it.revision <= expectedRevision } ||
                (expectedRevision == 0L && history.isComplete())

        private fun earlierWrites(present: StoreEntry?): List<EarlierWrite> {
            if (present == null) return emptyList()
            val history = decodeOrNull(present)?.write
            val replaced = EarlierWrite(history?.id.orEmpty(), present.revision)
            return (listOf(replaced) + history?.earlier.orEmpty()).take(WriteHistory.MAX_EARLIER_WRITES)
        }

        private fun decodeOrNull(entry: StoreEntry): SettingsRecord? =
            try {
                SettingsRecord.decode(entry)
            } catch (_: SerializationException) {
                null
            }
    }

    private companion object {
        const val FIRST_DELAY_MILLIS = 50L
        const val LARGEST_DELAY_MILLIS = 1_000L
    }
}
