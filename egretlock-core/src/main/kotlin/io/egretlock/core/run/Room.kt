package io.egretlock.core.run

import kotlinx.serialization.Serializable

/**
 * Resources that a task needs or that an upstream has.
 *
 * @property cpuMillicores thousandths of a processor core.
 * @property memoryMegabytes memory in megabytes.
 * @property accelerators number of whole accelerators.
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

    /** Whether [demand] fits into this room in every resource. */
    fun canHold(demand: Room): Boolean =
        demand.cpuMillicores <= cpuMillicores &&
            demand.memoryMegabytes <= memoryMegabytes &&
            demand.accelerators <= accelerators

    companion object {
        /** Room without any resources. */
        val NONE = Room(0, 0, 0)
    }
}
