package io.egretlock.testing.store

import kotlinx.serialization.Serializable

/** Whether the stand-in of the store is there at all. */
@Serializable
enum class StoreAvailability {
    /** Calls are answered. */
    UP,

    /** Calls are refused at once and watches end. */
    REFUSING,

    /** Calls get no answer and have no effect, and watches go silent for good. */
    HANGING,
}

/**
 * What goes wrong at the stand-in of the store.
 *
 * @property delayMillis time that each call waits before it is carried out.
 * @property lostAnswers number of writes, from now on, that take effect without an answer.
 * @property readRevision revision whose state reads are answered from; null for the present one.
 */
@Serializable
data class StoreFaults(
    val availability: StoreAvailability = StoreAvailability.UP,
    val delayMillis: Long = 0,
    val lostAnswers: Int = 0,
    val readRevision: Long? = null,
)

/** Calls that reached the stand-in since its start, by kind. Waiting watches count once. */
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
