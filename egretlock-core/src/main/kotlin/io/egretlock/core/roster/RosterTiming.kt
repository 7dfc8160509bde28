package io.egretlock.core.roster

import kotlinx.serialization.Serializable

/**
 * Timing of the agreement on rosters, in milliseconds. All entries must use the same values.
 *
 * @property windowMillis time after its start for which a confirmation covers newly created jobs.
 * @property clockDifferenceMillis largest difference between the clocks of two entries.
 * @property clientAheadMillis largest lead of a job's creation time over an entry's clock.
 * @property publicationMillis time in which a publication is usually stored and known to all entries.
 * @property promiseLimitMillis time after an entry's last store read for which peers' promises extend its horizon.
 * @property confirmMillis interval between confirmations.
 * @property lostAfterMillis time for which a member must be unreachable before it is removed.
 * @property takeOverAfterMillis time for which all members must be unreachable before an entry that is not a member
 * publishes a roster of its own.
 * @property retentionMillis age above which jobs are refused; claims must be kept for longer than this.
 */
@Serializable
data class RosterTiming(
    val windowMillis: Long = 3_000,
    val clockDifferenceMillis: Long = 500,
    val clientAheadMillis: Long = 1_000,
    val publicationMillis: Long = 1_500,
    val promiseLimitMillis: Long = 900_000,
    val confirmMillis: Long = 500,
    val lostAfterMillis: Long = 2_000,
    val takeOverAfterMillis: Long = 15_000,
    val retentionMillis: Long = 890_000,
) {
    /** Delay from a publication until its roster takes effect. */
    fun effectDelayMillis(holdMillis: Long): Long = publicationMillis + holdMillis + clockDifferenceMillis
}
