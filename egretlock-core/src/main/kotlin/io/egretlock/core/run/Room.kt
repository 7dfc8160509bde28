package io.egretlock.core.run

import kotlinx.serialization.Serializable

/**
 * What a task needs of an upstream, or an upstream has.
 *
 * @property cpuMillicores thousandths of a processor core.
 * @property memoryMegabytes memory.
 * @property accelerators whole accelerators.
 */
@Serializable
data class Room(
    val cpuMillicores: Long,
    val memoryMegabytes: Long,
    val accelerators: Long = 0,
) {
    operator fun plus(other: Room): Room =
        Room(
            cpuMillicores + other.cpuMillicores,
            memoryMegabytes + other.memoryMegabytes,
            accelerators + other.accelerators,
        )

    operator fun minus(other: Room): Room =
        Room(
            cpuMillicores - other.cpuMillicores,
            memoryMegabytes - other.memoryMegabytes,
            accelerators - other.accelerators,
        )

    /** Whether [demand] fits into this room. */
    fun holds(demand: Room): Boolean =
        demand.cpuMillicores <= cpuMillicores &&
            demand.memoryMegabytes <= memoryMegabytes &&
            demand.accelerators <= accelerators

    companion object {
        /** No room at all. */
        val NONE = Room(0, 0, 0)
    }
}
