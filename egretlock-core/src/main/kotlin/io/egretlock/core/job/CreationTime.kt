package io.egretlock.core.job

import java.util.UUID

/** Creation time of a job, which a UUIDv7 id carries (RFC 9562, section 5.7). */
object CreationTime {
    private const val VERSION_WITH_TIME = 7
    private const val TIME_SHIFT_BITS = 16

    /** Milliseconds since the epoch from [id]; null if it is no UUIDv7. */
    fun of(id: JobId): Long? =
        runCatching { UUID.fromString(id.value) }
            .getOrNull()
            ?.takeIf { it.version() == VERSION_WITH_TIME }
            ?.let { it.mostSignificantBits ushr TIME_SHIFT_BITS }
}
