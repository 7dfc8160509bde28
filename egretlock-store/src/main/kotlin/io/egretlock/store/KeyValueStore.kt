package io.egretlock.store

import kotlinx.coroutines.flow.Flow

/**
 * The platform's key-value service, as far as the system uses it.
 *
 * Every call can fail with [StoreException]; one that writes can also fail with [StoreOutcomeUnknownException], after
 * which the write may or may not have taken effect.
 */
interface KeyValueStore {
    /**
     * The keys that start with [prefix] and changed after revision [changedAfter], read from a majority (linearizable),
     * with the revision of the read. Deleted keys are left out.
     */
    suspend fun read(
        prefix: String,
        changedAfter: Long = 0,
    ): StoreSnapshot

    /**
     * Writes [value] if the key's modification revision is still [expectedRevision]; 0 stands for an absent key.
     * Returns the new revision, or the present entry if another write came first.
     */
    suspend fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String,
    ): SwapResult

    /** Changes of keys that start with [prefix] after [revision]. The flow ends with an exception when the watch does. */
    fun watch(
        prefix: String,
        revision: Long,
    ): Flow<StoreEntry>
}

/** One key with its value; [value] is null if the key was deleted. */
data class StoreEntry(
    val key: String,
    val value: String?,
    val revision: Long,
)

/** Result of a read: the entries and the store's revision at that moment. */
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

    /** Nothing was stored; [current] is the present entry, null if the key is absent. */
    data class Conflict(
        val current: StoreEntry?,
    ) : SwapResult
}

/** A call to the store failed. */
open class StoreException(
    message: String,
    cause: Throwable? = null,
) : Exception(message, cause)

/** A write to the store got no answer: it may or may not have taken effect. */
class StoreOutcomeUnknownException(
    val key: String,
    cause: Throwable? = null,
) : StoreException("The write of key '$key' got no answer; it may have taken effect.", cause)
