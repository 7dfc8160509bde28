package io.egretlock.testing.store

import io.egretlock.store.StoreEntry

/** All changes of the stand-in for the store, from which any earlier state can be read. Thread-safe. */
class StoreHistory {
    private val changes = mutableListOf<StoreEntry>()
    private val monitor = Object()

    /** Revision of the last change; 1 in an empty store, as in etcd. */
    val revision: Long
        get() = synchronized(monitor) { changes.lastOrNull()?.revision ?: EMPTY_REVISION }

    /**
     * Entries as of revision [atRevision] whose key is at least [from] and below [until]; the entry of the key [from]
     * alone if [until] is null.
     */
    fun read(
        from: String,
        until: String?,
        atRevision: Long = Long.MAX_VALUE,
    ): List<StoreEntry> =
        synchronized(monitor) {
            changes
                .filter { it.revision <= atRevision && isInRange(it.key, from, until) }
                .associateBy { it.key }
                .values
                .filter { it.value != null }
                .sortedBy { it.key }
        }

    /**
     * Stores [value], or deletes the key if null, and returns the revision of this change. Returns null and stores
     * nothing if the last change of the key is not [expectedRevision].
     */
    fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: String?,
    ): Long? =
        synchronized(monitor) {
            val current = read(key, until = null).firstOrNull()?.revision ?: 0
            if (current == expectedRevision) put(key, value) else null
        }

    /** Unconditionally stores [value], or deletes the key if null. Returns the new revision. */
    fun put(
        key: String,
        value: String?,
    ): Long =
        synchronized(monitor) {
            append(key, value)
            revision
        }

    /** Discards all changes after [lastRevision], as restoring the store from a backup does. */
    fun restore(lastRevision: Long) = synchronized(monitor) { changes.removeIf { it.revision > lastRevision } }

    /** Changes in the range after [afterRevision]; waits up to [waitMillis] for the first one. */
    fun changesAfter(
        from: String,
        until: String?,
        afterRevision: Long,
        waitMillis: Long,
    ): List<StoreEntry> =
        synchronized(monitor) {
            val endNanos = System.nanoTime() + waitMillis * NANOS_PER_MILLI
            var found = changesOf(from, until, afterRevision)
            while (found.isEmpty() && System.nanoTime() < endNanos) {
                monitor.wait((endNanos - System.nanoTime()) / NANOS_PER_MILLI + 1)
                found = changesOf(from, until, afterRevision)
            }
            found
        }

    private fun changesOf(
        from: String,
        until: String?,
        afterRevision: Long,
    ): List<StoreEntry> = changes.filter { it.revision > afterRevision && isInRange(it.key, from, until) }

    private fun append(
        key: String,
        value: String?,
    ) {
        changes += StoreEntry(key, value, revision + 1)
        monitor.notifyAll()
    }

    private fun isInRange(
        key: String,
        from: String,
        until: String?,
    ): Boolean = if (until == null) key == from else key >= from && key < until

    private companion object {
        const val EMPTY_REVISION = 1L
        const val NANOS_PER_MILLI = 1_000_000L
    }
}
