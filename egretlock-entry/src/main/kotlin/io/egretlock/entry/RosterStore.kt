package io.egretlock.entry

import io.egretlock.core.roster.RosterHistory
import io.egretlock.core.roster.RosterInput
import io.egretlock.core.roster.RosterOutput
import io.egretlock.process.event
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreException
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.SerializationException
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

private val logger = KotlinLogging.logger {}

/** The roster history in the platform's key-value service, stored as one JSON value under one key. */
internal class RosterStore(
    private val store: KeyValueStore,
    private val nowMillis: () -> Long,
) {
    /** Reads the history. A store that is slow or holds an invalid value counts as unavailable. */
    suspend fun read(): RosterInput {
        val startedAtMillis = nowMillis()
        return try {
            withTimeoutOrNull(CALL_TIMEOUT_MILLIS) { readFrom(startedAtMillis) } ?: unavailable("no answer in time")
        } catch (failure: StoreException) {
            unavailable(failure.message)
        } catch (fault: SerializationException) {
            unavailable(fault.message)
        }
    }

    /** Writes the history. The next read shows whether the write succeeded. */
    suspend fun publish(publication: RosterOutput.Publish) {
        try {
            withTimeoutOrNull(CALL_TIMEOUT_MILLIS) {
                store.compareAndSwap(KEY, publication.expectedRevision, json.encodeToString(publication.history))
            }
        } catch (failure: StoreException) {
            unavailable(failure.message)
        }
    }

    private suspend fun readFrom(startedAtMillis: Long): RosterInput {
        val entry = store.read(KEY).entries.firstOrNull { it.key == KEY }
        val history = entry?.value?.let { json.decodeFromString<RosterHistory>(it) }
        return RosterInput.StoreRead(startedAtMillis, history, entry?.revision ?: 0)
    }

    private fun unavailable(cause: String?): RosterInput {
        logger.event(EntryEvent.STORE_UNAVAILABLE, "cause" to cause)
        return RosterInput.StoreUnavailable
    }

    private companion object {
        const val KEY = "/egretlock/roster"
        const val CALL_TIMEOUT_MILLIS = 1_000L
        val json = Json { ignoreUnknownKeys = true }
    }
}
