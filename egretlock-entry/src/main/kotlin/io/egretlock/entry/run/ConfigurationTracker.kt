package io.egretlock.entry.run

import io.egretlock.core.run.QueueConfiguration
import io.egretlock.platform.PlatformStore
import io.egretlock.process.event
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val logger = KotlinLogging.logger {}

/**
 * Tracks the operators' configuration and applies each newer version. Versions come from the store or, while this entry
 * can't reach the store, from another entry. A version is applied as a whole, and only if it is higher than [current].
 *
 * @param key key of the newest configuration in the store.
 * @param decode decodes a configuration document; throws if the document can't be read.
 * @param onApplied called with each version that is applied and its document.
 */
internal class ConfigurationTracker(
    private val store: KeyValueStore,
    private val key: String,
    private val decode: (String) -> QueueConfiguration,
    private val onApplied: (QueueConfiguration, String) -> Unit,
) {
    private var isDown = false

    /** The version that was applied last; null until there is one. */
    var current: QueueConfiguration? = null
        private set

    /** The document of [current]. */
    var document: String? = null
        private set

    /** Reads and watches the store until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            try {
                followStore()
            } catch (failure: StoreException) {
                if (!isDown) logger.event(RunEntryEvent.CONFIGURATION_OUTAGE, "cause" to failure.message)
                isDown = true
            }
            delay(RETRY_MILLIS)
        }
    }

    /** Applies the document [text] if its version is higher than [current]; [source] names its origin in the log. */
    fun offer(
        text: String,
        source: String,
    ) {
        val decoded =
            try {
                decode(text)
            } catch (unreadable: Exception) {
                logger.event(RunEntryEvent.CONFIGURATION_UNREADABLE, "source" to source, "cause" to unreadable.message)
                return
            }
        if (decoded.version <= (current?.version ?: Long.MIN_VALUE)) return
        current = decoded
        document = text
        logger.event(
            RunEntryEvent.CONFIGURATION_APPLIED,
            "version" to decoded.version,
            "routes" to decoded.routes.size,
            "source" to source,
        )
        onApplied(decoded, text)
    }

    private suspend fun followStore() {
        val snapshot = store.read(key)
        if (isDown) logger.event(RunEntryEvent.CONFIGURATION_RECOVERED, "revision" to snapshot.revision)
        isDown = false
        snapshot.entries.forEach(::offer)
        store.watch(key, snapshot.revision).collect { offer(it) }
    }

    private fun offer(entry: StoreEntry) {
        if (entry.key == key) entry.value?.let { offer(it, "store") }
    }

    companion object {
        /** Delay after a failed read or an ended watch. */
        private const val RETRY_MILLIS = 150L

        /** Time for a read over a new connection. */
        const val READ_MILLIS = 150L

        /** Shortest wait of a watch, whatever time is allowed, so that an entry makes few calls to the store. */
        private const val MIN_WATCH_MILLIS = 300L

        /**
         * Longest wait of a watch at the store with which a version is applied within [applyMillis] even if the
         * connection of the watch went silent just before the version was stored: the watch has to time out before the
         * store is read again. The watches of all entries begin anew with each version, so that other entries notice
         * no sooner.
         */
        fun watchMillis(applyMillis: Long): Long =
            (applyMillis - PlatformStore.WATCH_TIMEOUT_MILLIS - RETRY_MILLIS - READ_MILLIS)
                .coerceAtLeast(MIN_WATCH_MILLIS)
    }
}
