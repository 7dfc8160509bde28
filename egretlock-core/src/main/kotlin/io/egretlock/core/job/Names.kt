package io.egretlock.core.job

import kotlinx.serialization.Serializable

/** Name of a team, which is one customer of the system. */
@Serializable
@JvmInline
value class TeamName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a service that teams submit jobs to and upstreams announce. */
@Serializable
@JvmInline
value class ServiceName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of an operation of a service; run times are learned per operation. */
@Serializable
@JvmInline
value class OperationName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a failure domain, as the settings of a process give it. */
@Serializable
@JvmInline
value class FailureDomain(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identity that a client chooses for a job and repeats on each resubmission. */
@Serializable
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Identity of one task: its job and its position, from 0, in the job. */
@Serializable
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "$job:$index"
}

/**
 * Identity of one run of a process. A restart under the same [name] is a new [incarnation], which is larger than every
 * earlier one because it is the start time in milliseconds since the epoch.
 */
@Serializable
data class ProcessId(
    val name: String,
    val incarnation: Long,
) {
    override fun toString(): String = "$name@$incarnation"
}
