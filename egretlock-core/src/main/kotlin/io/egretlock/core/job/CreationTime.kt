package io.egretlock.core.job

import java.util.UUID

/** Creation time of a job, which its id contains if the id is a UUIDv7 (RFC 9562, section 5.7). */
object CreationTime {
    private const val TIME_ORDERED_VERSION = 7
    private const val TIME_SHIFT_BITS = 16

    /** Creation time in [id], in milliseconds since the epoch; null if [id] is not a UUIDv7. */
    fun of(id: JobId): Long? =
        runCatching { UUID.fromString(id.value) }
            .getOrNull()
            ?.takeIf { it.version() == TIME_ORDERED_VERSION }
            ?.let { it.mostSignificantBits ushr TIME_SHIFT_BITS }
}
