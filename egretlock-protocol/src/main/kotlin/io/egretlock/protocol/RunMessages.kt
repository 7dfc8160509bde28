package io.egretlock.protocol

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import io.egretlock.core.roster.NodeAddress
import io.egretlock.core.run.RunEnd
import io.egretlock.core.run.RunId
import io.egretlock.core.run.RunOrder
import io.egretlock.core.run.UpstreamReport
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** First message of an agent on a connection that carries runs. */
@Serializable
@SerialName("run-agent-hello")
data class RunAgentHello(
    val agent: ProcessId,
    val failureDomain: FailureDomain,
) : Message

/**
 * First message of an entry on a connection that carries runs; sent again whenever its list of entries changes.
 *
 * @property entries addresses of all entries known to the sender, including its own.
 */
@Serializable
@SerialName("run-entry-hello")
data class RunEntryHello(
    val entry: ProcessId,
    val failureDomain: FailureDomain,
    val entries: List<NodeAddress>,
) : Message

/**
 * Reports to an entry the state of the upstream of an agent; null if no upstream accepts or holds runs.
 *
 * @property seenSequence sequence number of the last order on this connection that the report takes into account.
 */
@Serializable
@SerialName("upstream-report")
data class UpstreamReported(
    val report: UpstreamReport?,
    val seenSequence: Long,
) : Message

/**
 * Orders an agent to start runs.
 *
 * @property heardHeartbeat number of the agent's last heartbeat that the entry had received when it sent the order, see
 * [Link.millisSinceHeartbeat]; null from an earlier version of the program, which does not bound the age of its orders.
 */
@Serializable
@SerialName("start-runs")
data class StartRuns(
    val order: RunOrder,
    val heardHeartbeat: Long? = null,
) : Message

/** Orders an agent to stop a run. */
@Serializable
@SerialName("stop-run")
data class StopRun(
    val run: RunId,
) : Message

/** Tells an agent that no other entry works on [job], so that the runs ordered by the sender may go on. */
@Serializable
@SerialName("confirm-runs")
data class ConfirmRuns(
    val job: JobId,
) : Message

/** Reports to the home of a run how it ended, after [runMillis]. */
@Serializable
@SerialName("run-ended")
data class RunEnded(
    val run: RunId,
    val end: RunEnd,
    val runMillis: Double,
) : Message

/** Reports to another entry the version of the operators' configuration in force; 0 if there is none yet. */
@Serializable
@SerialName("configuration-version")
data class ConfigurationVersion(
    val version: Long,
) : Message

/** Requests the configuration of another entry. */
@Serializable
@SerialName("configuration-request")
data object ConfigurationRequest : Message

/** Complete configuration as the store holds it. */
@Serializable
@SerialName("configuration")
data class ConfigurationDocument(
    val version: Long,
    val document: String,
) : Message
