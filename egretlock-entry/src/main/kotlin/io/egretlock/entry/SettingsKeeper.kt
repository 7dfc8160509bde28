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
 * Holds the settings in force at an entry. They come from the store, from other entries, from agents and from edits
 * made here; whichever has the highest revision is in force, and is passed on.
 *
 * @property changed called with settings that have just come into force; may be called from any thread.
 */
internal class SettingsKeeper(
    private val changed: (List<StoredTeamSettings>) -> Unit,
) {
    /** The settings in force. */
    val table = SettingsTable()

    private val informed = CompletableDeferred<Unit>()

    /**
     * Waits until settings are known: from the store, even if it has none, or from another process. An entry that took
     * jobs before that would refuse them for want of settings.
     */
    suspend fun awaitInformed() = informed.await()

    /** The store was read whole. */
    fun storeRead() {
        informed.complete(Unit)
    }

    /** Takes [updates] of the store until cancelled. */
    suspend fun run(updates: Flow<StoredTeamSettings>) = updates.collect { learned(listOf(it)) }

    /** Applies those of [offered] that are newer than what is in force. */
    fun learned(offered: List<StoredTeamSettings>) {
        val applied = table.apply(offered)
        if (offered.isNotEmpty()) informed.complete(Unit)
        if (applied.isNotEmpty()) changed(applied)
    }
}

/** Logs what the watch of the store's settings meets, and tells [keeper] when the store was read whole. */
internal class SettingsWatchLog(
    private val keeper: SettingsKeeper,
) : SettingsWatcherListener {
    override fun established(revision: Long) {
        keeper.storeRead()
        logger.event(EntryEvent.SETTINGS_WATCHED, "revision" to revision)
    }

    override fun interrupted(cause: StoreException) =
        logger.event(EntryEvent.SETTINGS_WATCH_INTERRUPTED, "cause" to cause.message)

    override fun olderState(
        revision: Long,
        knownRevision: Long,
    ) = logger.event(EntryEvent.STORE_OLDER_STATE, "revision" to revision, "known" to knownRevision)

    override fun unreadable(
        key: String,
        cause: String,
    ) = logger.event(EntryEvent.SETTINGS_UNREADABLE, "key" to key, "cause" to cause)
}
