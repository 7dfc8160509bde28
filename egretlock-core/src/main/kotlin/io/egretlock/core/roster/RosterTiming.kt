package io.egretlock.core.roster

import kotlinx.serialization.Serializable

/**
 * Times that the agreement on rosters rests on, in milliseconds. All entries must have the same.
 *
 * @property windowMillis a confirmation covers jobs created up to this long after it was asked for.
 * @property clockDifferenceMillis largest difference between the clocks of two entries.
 * @property clientAheadMillis a job may be created this far ahead of an entry's clock.
 * @property publicationMillis time in which a publication usually is stored and known everywhere.
 * @property promiseLimitMillis time after an entry's last store read for which promises of its peers count.
 * @property confirmMillis interval between confirmations.
 * @property lostAfterMillis a member that stays unreachable this long is removed.
 * @property takeOverAfterMillis an entry that is no member publishes a roster alone once no member answered this long.
 * @property retentionMillis older jobs are refused; claims must be remembered for longer.
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
