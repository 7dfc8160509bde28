package io.egretlock.testing.store

import kotlinx.serialization.Serializable

/** Availability of the stand-in for the store. */
@Serializable
enum class StoreAvailability {
    /** Calls are answered. */
    UP,

    /** Calls are refused at once and watches end. */
    REFUSING,

    /** Calls get no answer and have no effect, and watches go silent permanently. */
    HANGING,
}

/**
 * Faults of the stand-in for the store.
 *
 * @property delayMillis delay before each call is executed.
 * @property lostAnswers number of next writes that take effect without an answer.
 * @property readRevision revision at which reads see the store; null for the current one.
 */
@Serializable
data class StoreFaults(
    val availability: StoreAvailability = StoreAvailability.UP,
    val delayMillis: Long = 0,
    val lostAnswers: Int = 0,
    val readRevision: Long? = null,
)

/** Calls that the stand-in has received since its start, by kind. An open watch counts once. */
@Serializable
data class StoreCallCounts(
    val reads: Long = 0,
    val writes: Long = 0,
    val watches: Long = 0,
) {
    /** Calls of all kinds. */
    val total: Long
        get() = reads + writes + watches
}
