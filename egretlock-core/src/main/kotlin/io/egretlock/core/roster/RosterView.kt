package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import kotlinx.serialization.Serializable

/**
 * Snapshot of the rosters that one entry knows; gives the home of any job.
 *
 * A job created before the horizon is claimed by its home only, whatever other entries know, as no unknown roster can
 * move it. A member that gained jobs by a roster claims only those created after the horizon of every entry that does
 * not know this roster.
 *
 * @property horizonMillis jobs created before it, in milliseconds since the epoch, may be claimed.
 * @property inherited entries whose claims have all been handed over to this one.
 */
@Serializable
data class RosterView(
    val self: EntryMember,
    val timing: RosterTiming,
    val history: RosterHistory? = null,
    val horizonMillis: Long = Long.MIN_VALUE,
    val inherited: Set<ProcessId> = emptySet(),
) {
    /** Whether this entry is a member of the newest roster. */
    val isMember: Boolean
        get() = history?.newest?.members?.any { it.entry == self.entry } == true

    /** Home of the job [id] created at [createdAtMillis]; [nowMillis] is the present time by this entry's clock. */
    fun homeOf(
        id: JobId,
        createdAtMillis: Long,
        nowMillis: Long,
    ): JobHome {
        val known = history ?: return JobHome.Unknown
        val index = known.indexAt(createdAtMillis)
        return when {
            createdAtMillis < nowMillis - timing.retentionMillis || index < 0 -> JobHome.Expired
            createdAtMillis > nowMillis + timing.clientAheadMillis -> JobHome.TooNew
            else -> homeUnder(known, index, id, createdAtMillis)
        }
    }

    private fun homeUnder(
        known: RosterHistory,
        index: Int,
        id: JobId,
        createdAtMillis: Long,
    ): JobHome {
        val home = known.homeAt(index, id)
        val holder = home?.let(known::holderOf)
        return when {
            home == null || holder == null -> JobHome.Lost(null, known.newest.effectiveFromMillis)
            holder.entry == self.entry -> hereIfConfirmed(known, index, id, home, createdAtMillis)
            known.newest.members.any { it.entry == holder.entry } -> JobHome.Remote(holder)
            else -> JobHome.Lost(home.entry, known.newest.effectiveFromMillis)
        }
    }

    private fun hereIfConfirmed(
        known: RosterHistory,
        index: Int,
        id: JobId,
        home: EntryMember,
        createdAtMillis: Long,
    ): JobHome {
        val ownsClaims = home.entry == self.entry || home.entry in inherited
        val isConfirmed = createdAtMillis < horizonMillis
        val areGainsClaimable = (1..index).all { isGainClaimable(known, it, id, home, createdAtMillis) }
        return if (ownsClaims && isConfirmed && areGainsClaimable) JobHome.Local else JobHome.LocalUnconfirmed
    }

    private fun isGainClaimable(
        known: RosterHistory,
        index: Int,
        id: JobId,
        home: EntryMember,
        createdAtMillis: Long,
    ): Boolean {
        if (known.homeAt(index - 1, id)?.entry == home.entry) return true
        val roster = known.rosters[index]
        val storedByMillis = roster.storedByMillis ?: return false
        return createdAtMillis >= storedByMillis + roster.holdMillis + timing.clockDifferenceMillis
    }
}
