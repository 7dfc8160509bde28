package io.egretlock.store

import kotlinx.coroutines.flow.Flow

/**
 * Operations of the platform's key-value store that the system uses.
 *
 * Each call can fail with [StoreException]. A write can also fail with [StoreOutcomeUnknownException], which means that
 * it may or may not have taken effect.
 */
interface KeyValueStore {
    /**
     * Reads the keys that start with [prefix] and changed after revision [changedAfter], and the revision of the read.
     * The read goes to a majority (linearizable). Deleted keys are omitted.
     */
    suspend fun read(
        prefix: String,
        changedAfter: Long = 0,
    ): StoreSnapshot

    /**
     * Writes [value] if the key's modification revision is still [expectedRevision]; 0 means that the key is absent.
     * Returns the new revision, or the current entry if another write came first.
     */
    suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapResult

    /** Emits changes after [revision] of keys that start with [prefix]. Fails with an exception when the watch ends. */
    fun watch(
        prefix: String,
        revision: Long,
    ): Flow<StoreEntry>
}

/** A key with its value and the revision of its last change; [value] is null if the key was deleted. */
data class StoreEntry(
    val key: String,
    val value: String?,
    val revision: Long,
)

/** Result of a read: the entries and the store's revision at the time of the read. */
data class StoreSnapshot(
    val entries: List<StoreEntry>,
    val revision: Long,
)

/** Result of a compare-and-swap. */
sealed interface SwapResult {
    /** The value is stored under [revision]. */
    data class Stored(
        val revision: Long,
    ) : SwapResult

    /** Nothing was stored; [current] is the current entry, null if the key is absent. */
    data class Conflict(
        val current: StoreEntry?,
    ) : SwapResult
}

/** Failure of a call to the store. */
open class StoreException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** Failure of a write without an answer from the store: the write may or may not have taken effect. */
class StoreOutcomeUnknownException(
    val key: String,
    cause: Throwable? = null,
) : StoreException("The write of key '$key' got no answer; it may have taken effect.", cause)
