package io.egretlock.entry

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.job.Reason
import io.egretlock.core.job.Verdict
import io.egretlock.core.roster.EntryMember
import io.egretlock.core.roster.Roster
import io.egretlock.platform.KeyValueStore
import io.egretlock.platform.StoreException
import io.egretlock.platform.SwapResult
import io.egretlock.process.event
import io.github.oshai.kotlinlogging.KotlinLogging
import kotlinx.coroutines.delay
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json

private val logger = KotlinLogging.logger {}

/** Reads the roster from the store at a fixed interval, and joins it. */
internal class StoreReader(
    private val store: KeyValueStore,
    private val self: EntryMember,
    private val rosterAdopted: (Roster) -> Unit,
) : JobLocator {
    @Volatile
    private var roster: Roster? = null

    /** The roster last read. */
    fun rosters(): List<Roster> = listOfNotNull(roster)

    /** Reads until cancelled. */
    suspend fun run() {
        while (true) {
            readOnce()
            delay(READ_INTERVAL_MILLIS)
        }
    }

    override fun locate(
        id: JobId,
        createdAtMillis: Long,
    ): JobLocation {
        val members = roster?.members.orEmpty()
        val home = members.maxByOrNull { weight(it.entry, id) }
        return when {
            createdAtMillis > System.currentTimeMillis() + CLOCK_MARGIN_MILLIS -> JobLocation.Nowhere(fromTheFuture())
            home == null ->
                JobLocation.Nowhere(
                    Verdict.NotRun(Reason.NO_AUTHORITY, "No roster is known yet.", RETRY_MILLIS),
                )
            home.entry == self.entry -> JobLocation.Here
            else -> JobLocation.Elsewhere(home)
        }
    }

    private fun fromTheFuture() =
        Verdict.NotRun(Reason.CREATION_TIME, "The job's creation time is ahead of this entry's clock.")

    private suspend fun readOnce() {
        try {
            readRoster()
        } catch (failure: StoreException) {
            logger.event(EntryEvent.STORE_UNAVAILABLE, "cause" to failure.message)
        }
    }

    private suspend fun readRoster() {
        val entry = store.read(ROSTER_KEY).entries.firstOrNull { it.key == ROSTER_KEY }
        val stored = entry?.value?.let { json.decodeFromString<Roster>(it) }
        if (stored != null && self in stored.members) return adopt(stored)
        val members = stored?.members.orEmpty().filter { it.entry.name != self.entry.name } + self
        val next = Roster((stored?.version ?: 0) + 1, effectiveFromMillis = 0, members = members)
        val result = store.compareAndSwap(ROSTER_KEY, entry?.revision ?: 0, json.encodeToString(next))
        if (result is SwapResult.Stored) adopt(next)
    }

    private fun adopt(next: Roster) {
        if (roster?.version == next.version) return
        roster = next
        rosterAdopted(next)
        logger.event(EntryEvent.ROSTER_ADOPTED, "version" to next.version, "members" to next.members.size)
    }

    private fun weight(
        entry: ProcessId,
        id: JobId,
    ): Int = "$entry/$id".hashCode() * GOLDEN_RATIO_MULTIPLIER

    private companion object {
        const val READ_INTERVAL_MILLIS = 500L
        const val CLOCK_MARGIN_MILLIS = 2_000L
        const val RETRY_MILLIS = 1_000L
        const val ROSTER_KEY = "/egretlock/roster"
        const val GOLDEN_RATIO_MULTIPLIER = -1_640_531_527
        val json = Json { ignoreUnknownKeys = true }
    }
}
