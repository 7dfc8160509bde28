package io.egretlock.core.job

import kotlinx.serialization.Serializable

/** Name of a team, which is one client account of the system. */
@Serializable
@JvmInline
value class TeamName(
    val value: String,
) {
    override fun toString(): String = value
}

/** Name of a service to which teams submit jobs and which upstreams announce. */
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

/** Name of a failure domain, from the settings of a process. */
@Serializable
@JvmInline
value class FailureDomain(
    val value: String,
) {
    override fun toString(): String = value
}

/** Id that a client chooses for a job and repeats on each resubmission. */
@Serializable
@JvmInline
value class JobId(
    val value: String,
) {
    override fun toString(): String = value
}

/** Id of a task: its job and its index in the job, from 0. */
@Serializable
data class TaskId(
    val job: JobId,
    val index: Int,
) {
    override fun toString(): String = "$job:$index"
}

/**
 * Id of one run of a process. A restart under the same [name] has a new [incarnation], which is larger than every
 * earlier one because it is the start time in milliseconds since the epoch.
 */
@Serializable
data class ProcessId(
    val name: String,
    val incarnation: Long,
) {
    override fun toString(): String = "$name@$incarnation"
}
