package io.egretlock.entry

import io.egretlock.core.settings.SettingsTable
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.process.event
import io.egretlock.store.StoreException
import io.egretlock.store.settings.SettingsWatcherListener
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.flow.Flow

private val logger = KotlinLogging.logger {}

/**
 * Holds the settings in force at an entry. They come from the store, from other entries, from agents and from edits at
 * this entry. The settings with the highest revision are in force and are passed on.
 *
 * @property changed callback for settings that have come into force; may be called from any thread.
 */
internal class SettingsTracker(
    private val changed: (List<StoredTeamSettings>) -> Unit,
) {
    /** The settings in force. */
    val table = SettingsTable()

    private val settingsKnown = CompletableDeferred<Unit>()

    /**
     * Waits until the store has been read, even if it has no settings, or until another process has sent settings.
     * Before that, the entry would refuse jobs for lack of settings.
     */
    suspend fun awaitSettings() = settingsKnown.await()

    /** Records that all settings were read from the store. */
    fun markStoreRead() {
        settingsKnown.complete(Unit)
    }

    /** Applies [updates] from the store until cancelled. */
    suspend fun run(updates: Flow<StoredTeamSettings>) = updates.collect { applyNewer(listOf(it)) }

    /** Applies the settings in [offered] that are newer than those in force. */
    fun applyNewer(offered: List<StoredTeamSettings>) {
        val applied = table.apply(offered)
        if (offered.isNotEmpty()) settingsKnown.complete(Unit)
        if (applied.isNotEmpty()) changed(applied)
    }
}

/** Logs the events of the settings watcher and notifies [tracker] when all settings were read from the store. */
internal class SettingsWatchLog(
    private val tracker: SettingsTracker,
) : SettingsWatcherListener {
    override fun onWatchStarted(revision: Long) {
        tracker.markStoreRead()
        logger.event(EntryEvent.SETTINGS_WATCHED, "revision" to revision)
    }

    override fun onInterrupted(cause: StoreException) =
        logger.event(EntryEvent.SETTINGS_WATCH_INTERRUPTED, "cause" to cause.message)

    override fun onStaleRead(
        revision: Long,
        knownRevision: Long,
    ) = logger.event(EntryEvent.STORE_OLDER_STATE, "revision" to revision, "known" to knownRevision)

    override fun onUndecodable(
        key: String,
        cause: String,
    ) = logger.event(EntryEvent.SETTINGS_UNREADABLE, "key" to key, "cause" to cause)
}
