package io.egretlock.entry.run

import io.egretlock.core.run.OwnershipTiming
import kotlin.math.abs

/**
 * Detects that this process stood still: the process was paused, or its instance was suspended, during which the
 * monotonic clock may stand still too. A step of the wall clock looks the same as a suspension.
 */
internal class StandstillDetector(
    private val nowMillis: () -> Long,
    private val wallMillis: () -> Long,
) {
    private var checkedAtMillis = nowMillis()
    private var wallOffsetMillis = wallMillis() - nowMillis()

    /** Returns whether the process stood still since the last call; called at least every [INTERVAL_MILLIS]. */
    fun check(): Boolean {
        val now = nowMillis()
        val offset = wallMillis() - now
        val hasPaused = now - checkedAtMillis > OwnershipTiming.UNNOTICED_PAUSE_MILLIS
        // The offset is kept below the limit, so that short suspensions add up.
        val wasSuspended = abs(offset - wallOffsetMillis) > OwnershipTiming.UNNOTICED_SUSPENSION_MILLIS
        checkedAtMillis = now
        if (wasSuspended) wallOffsetMillis = offset
        return hasPaused || wasSuspended
    }

    companion object {
        const val INTERVAL_MILLIS = 100L
    }
}
