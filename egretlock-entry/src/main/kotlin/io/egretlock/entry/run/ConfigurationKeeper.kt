package io.egretlock.entry.run

import io.egretlock.core.run.QueueConfiguration
import io.egretlock.process.event
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay

private val logger = KotlinLogging.logger {}

/**
 * Keeps the operators' configuration in force: from the store, or from another entry while this one can't reach the store.
 * A version is applied as a whole, and only if it is higher than the one in force.
 *
 * @param key key of the newest configuration.
 * @param decode reads a stored configuration; throws for one that can't be read.
 * @param onChange is told each version that comes into force, with its document.
 */
internal class ConfigurationKeeper(
    private val store: KeyValueStore,
    private val key: String,
    private val decode: (String) -> QueueConfiguration,
    private val onChange: (QueueConfiguration, String) -> Unit,
) {
    private var isLost = false

    /** The configuration in force; null until one is known. */
    var current: QueueConfiguration? = null
        private set

    /** The document of [current]. */
    var document: String? = null
        private set

    /** Follows the store until cancelled. */
    suspend fun run(): Nothing {
        while (true) {
            try {
                follow()
            } catch (failure: StoreException) {
                if (!isLost) logger.event(RunEntryEvent.CONFIGURATION_LOST, "cause" to failure.message)
                isLost = true
            }
            delay(RETRY_MILLIS)
        }
    }

    /** Applies [text] if it is newer than what is in force; [source] says where it came from. */
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
        onChange(decoded, text)
    }

    private suspend fun follow() {
        val snapshot = store.read(key)
        if (isLost) logger.event(RunEntryEvent.CONFIGURATION_REGAINED, "revision" to snapshot.revision)
        isLost = false
        snapshot.entries.forEach(::offer)
        store.watch(key, snapshot.revision).collect { offer(it) }
    }

    private fun offer(entry: StoreEntry) {
        if (entry.key == key) entry.value?.let { offer(it, "store") }
    }

    private companion object {
        /** Pause after a failed read or an ended watch; a configuration has to be in force within two seconds. */
        const val RETRY_MILLIS = 150L
    }
}
