package io.egretlock.testing.client

import java.util.UUID
import kotlin.random.Random

/** Generates job ids that contain their creation time (UUID version 7, RFC 9562). */
class JobIds(
    private val random: Random,
) {
    /** A new id created at [createdAtMillis], in milliseconds since the epoch. */
    fun next(createdAtMillis: Long = System.currentTimeMillis()): String {
        val high = (createdAtMillis shl TIME_SHIFT) or VERSION_BITS or random.nextLong(RANDOM_HIGH_BOUND)
        val low = VARIANT_BITS or random.nextLong(RANDOM_LOW_BOUND)
        return UUID(high, low).toString()
    }

    private companion object {
        const val TIME_SHIFT = 16
        const val VERSION_BITS = 0x7000L
        const val RANDOM_HIGH_BOUND = 0x1000L
        const val VARIANT_BITS = Long.MIN_VALUE
        const val RANDOM_LOW_BOUND = 0x4000_0000_0000_0000L
    }
}
