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
 * Writes checked settings to the store by compare-and-swap.
 *
 * A write whose answer was lost is settled by reading the key back: the record names its own write and those it
 * replaced. Failed calls are repeated with backoff until the caller's deadline.
 */
class SettingsEditor(
    private val store: KeyValueStore,
    private val backoff: Backoff = Backoff(FIRST_DELAY_MILLIS, LARGEST_DELAY_MILLIS),
    private val random: Random = Random.Default,
    private val writeIds: () -> String = { UUID.randomUUID().toString() },
) {
    /**
     * Stores [settings] if the team's key is still at [expectedRevision], 0 for a team without settings. Ends within
     * [deadlineMillis]. A store whose state is older than [knownRevision] is not written to.
     */
    suspend fun edit(
        settings: TeamSettings,
        expectedRevision: Long,
        knownRevision: Long,
        deadlineMillis: Long,
    ): SettingsEditOutcome {
        val edit = Edit(settings, expectedRevision, knownRevision, writeIds())
        return withTimeoutOrNull(deadlineMillis) { edit.runToEnd() } ?: edit.outcomeAtDeadline()
    }

    private inner class Edit(
        private val settings: TeamSettings,
        private val expectedRevision: Long,
        private val knownRevision: Long,
        private val writeId: String,
    ) {
        private val key = SettingsRecord.keyOf(settings.team)
        private var mayBeWritten = false
        private var lastFailure = "The store did not answer in time."

        suspend fun runToEnd(): SettingsEditOutcome {
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
            if (mayBeWritten) {
                SettingsEditOutcome.Unknown(lastFailure)
            } else {
                SettingsEditOutcome.Unavailable(lastFailure)
            }

        /** Reads, then writes unless the read settles the edit. Null if the answer of the write was lost. */
        private suspend fun attempt(): SettingsEditOutcome? {
            val snapshot = store.read(key)
            if (snapshot.revision < knownRevision) {
                throw StoreException("The store answers from revision ${snapshot.revision}, before $knownRevision.")
            }
            val present = snapshot.entries.firstOrNull { it.key == key }
            return if (isUntouched(present)) write(present) else settled(present)
        }

        private fun isUntouched(present: StoreEntry?): Boolean = (present?.revision ?: 0) == expectedRevision

        private suspend fun write(present: StoreEntry?): SettingsEditOutcome? {
            val record = SettingsRecord(settings, WriteMark(writeId, earlierWrites(present)))
            val mayHaveBeenWritten = mayBeWritten
            mayBeWritten = true
            return try {
                when (val result = store.compareAndSwap(key, expectedRevision, record.encode())) {
                    is SwapResult.Stored -> SettingsEditOutcome.Accepted(StoredTeamSettings(result.revision, settings))
                    is SwapResult.Conflict -> {
                        mayBeWritten = mayHaveBeenWritten
                        settled(result.current)
                    }
                }
            } catch (lost: StoreOutcomeUnknownException) {
                lastFailure = lost.message.orEmpty()
                null
            } catch (failure: StoreException) {
                mayBeWritten = mayHaveBeenWritten
                throw failure
            }
        }

        /** The outcome where the key is no longer at the expected revision, so that no write of this edit can follow. */
        private fun settled(present: StoreEntry?): SettingsEditOutcome {
            val record = present?.let(::readable)
            val current = record?.let { StoredTeamSettings(present.revision, it.settings) }
            return when {
                !mayBeWritten -> SettingsEditOutcome.Conflict(current)
                record?.write?.covers(writeId) == true -> SettingsEditOutcome.Accepted(checkNotNull(current))
                record?.write?.let(::tellsAll) == true -> SettingsEditOutcome.Conflict(current)
                else -> SettingsEditOutcome.Unknown("Later writes do not tell whether this one happened.")
            }
        }

        /** Whether [mark] reaches back to the revision that this edit wanted to replace. */
        private fun tellsAll(mark: WriteMark): Boolean =
            mark.earlier.any { it.revision <= expectedRevision } ||
                (expectedRevision == 0L && mark.reachesBackToFirst())

        private fun earlierWrites(present: StoreEntry?): List<EarlierWrite> {
            if (present == null) return emptyList()
            val mark = readable(present)?.write
            val replaced = EarlierWrite(mark?.id.orEmpty(), present.revision)
            return (listOf(replaced) + mark?.earlier.orEmpty()).take(WriteMark.LONGEST_HISTORY)
        }

        private fun readable(entry: StoreEntry): SettingsRecord? =
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
