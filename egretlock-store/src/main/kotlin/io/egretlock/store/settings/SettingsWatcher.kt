package io.egretlock.store.settings

import io.egretlock.core.job.TeamName
import io.egretlock.core.retry.Backoff
import io.egretlock.core.settings.StoredTeamSettings
import io.egretlock.store.KeyValueStore
import io.egretlock.store.StoreEntry
import io.egretlock.store.StoreException
import io.egretlock.store.StoreSnapshot
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.channelFlow
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.map
import kotlinx.coroutines.flow.merge
import kotlinx.serialization.SerializationException
import kotlin.random.Random

/**
 * Intervals at which a [SettingsWatcher] calls the store.
 *
 * @property checkMillis longest interval between reads of the changes, by which a silent watch is detected.
 * @property backoff delays after failed calls.
 */
data class SettingsWatcherTiming(
    val checkMillis: Long = 2_000,
    val backoff: Backoff = Backoff(firstMillis = 500, maxMillis = 2_000),
)

/** Receives the events of a [SettingsWatcher], for logs and metrics. */
interface SettingsWatcherListener {
    /** All settings were read, and a watch starts from [revision]. */
    fun onWatchStarted(revision: Long) = Unit

    /** The watch or a read failed and will be retried. */
    fun onInterrupted(cause: StoreException) = Unit

    /** The store answered from [revision], which is older than [knownRevision]; the answer is discarded. */
    fun onStaleRead(
        revision: Long,
        knownRevision: Long,
    ) = Unit

    /** The value of [key] can't be decoded or was deleted; the settings in force stay in force. */
    fun onUndecodable(
        key: String,
        cause: String,
    ) = Unit
}

/**
 * Watches the settings of all teams in the store: reads all of them, watches for changes from the revision of the read,
 * and starts again with a full read after each failure or silent watch.
 */
class SettingsWatcher(
    private val store: KeyValueStore,
    private val timing: SettingsWatcherTiming = SettingsWatcherTiming(),
    private val random: Random = Random.Default,
    private val listener: SettingsWatcherListener = object : SettingsWatcherListener {},
) {
    /**
     * Emits the settings of each team and their changes. The emitted revisions of a team always increase, and the flow
     * never completes by itself.
     */
    fun updates(): Flow<StoredTeamSettings> = channelFlow { Session(this).run() }

    private sealed interface Signal {
        data class Changed(
            val entry: StoreEntry,
        ) : Signal

        data object CheckDue : Signal
    }

    private inner class Session(
        private val output: ProducerScope<StoredTeamSettings>,
    ) {
        private val emittedRevisions = mutableMapOf<TeamName, Long>()
        private var storeRevision = 0L
        private var watchedRevision = 0L
        private var readRevision = 0L

        suspend fun run() {
            var failures = 0
            while (true) {
                try {
                    applySnapshot(readAfter(changedAfter = 0))
                    failures = 0
                    watchChanges()
                } catch (failure: StoreException) {
                    listener.onInterrupted(failure)
                }
                failures++
                delay(timing.backoff.delayMillis(failures, random))
            }
        }

        private suspend fun watchChanges() {
            watchedRevision = storeRevision
            readRevision = storeRevision
            listener.onWatchStarted(storeRevision)
            val changes = store.watch(SettingsRecord.PREFIX, storeRevision).map { Signal.Changed(it) }
            merge(changes, checks()).collect { signal ->
                when (signal) {
                    is Signal.Changed -> applyChange(signal.entry)
                    Signal.CheckDue -> check()
                }
            }
        }

        private fun checks(): Flow<Signal> =
            flow {
                while (true) {
                    delay(timing.checkMillis / 2 + random.nextLong(timing.checkMillis / 2 + 1))
                    emit(Signal.CheckDue)
                }
            }

        private suspend fun check() {
            if (watchedRevision < readRevision) throw StoreException("The watch has gone silent.")
            val snapshot = readAfter(changedAfter = watchedRevision)
            readRevision = maxOf(readRevision, snapshot.entries.maxOfOrNull { it.revision } ?: 0)
            applySnapshot(snapshot)
        }

        private suspend fun readAfter(changedAfter: Long): StoreSnapshot {
            val snapshot = store.read(SettingsRecord.PREFIX, changedAfter)
            if (snapshot.revision < storeRevision) {
                listener.onStaleRead(snapshot.revision, storeRevision)
                throw StoreException("The store answers from revision ${snapshot.revision}, before $storeRevision.")
            }
            return snapshot
        }

        private suspend fun applySnapshot(snapshot: StoreSnapshot) {
            storeRevision = snapshot.revision
            snapshot.entries.sortedBy { it.revision }.forEach { emit(it) }
        }

        private suspend fun applyChange(entry: StoreEntry) {
            watchedRevision = maxOf(watchedRevision, entry.revision)
            storeRevision = maxOf(storeRevision, entry.revision)
            emit(entry)
        }

        private suspend fun emit(entry: StoreEntry) {
            val stored = decodeOrNull(entry) ?: return
            val emittedRevision = emittedRevisions[stored.settings.team] ?: 0
            if (stored.revision <= emittedRevision) return
            emittedRevisions[stored.settings.team] = stored.revision
            output.send(stored)
        }

        private fun decodeOrNull(entry: StoreEntry): StoredTeamSettings? =
            try {
                SettingsRecord.decodeStoredSettings(entry)
            } catch (failure: SerializationException) {
                listener.onUndecodable(entry.key, failure.message.orEmpty())
                null
            }
    }
}
