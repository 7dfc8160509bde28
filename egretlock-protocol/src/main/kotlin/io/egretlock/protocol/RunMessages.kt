package io.egretlock.protocol

import io.egretlock.core.job.FailureDomain
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
 * First message of an entry on a connection that carries runs, and again whenever its list of entries changes.
 *
 * @property entries addresses of all entries that it knows, itself included.
 */
@Serializable
@SerialName("run-entry-hello")
data class RunEntryHello(
    val entry: ProcessId,
    val failureDomain: FailureDomain,
    val entries: List<NodeAddress>,
) : Message

/**
 * Tells an entry about the upstream beside an agent; null if there is none that takes or holds runs.
 *
 * @property seenSequence number of the last order on this connection that the report covers.
 */
@Serializable
@SerialName("upstream-report")
data class UpstreamReported(
    val report: UpstreamReport?,
    val seenSequence: Long,
) : Message

/** Orders an agent to start runs. */
@Serializable
@SerialName("start-runs")
data class StartRuns(
    val order: RunOrder,
) : Message

/** Orders an agent to stop a run. */
@Serializable
@SerialName("stop-run")
data class StopRun(
    val run: RunId,
) : Message

/** Tells the home of a run how it ended, after [runMillis]. */
@Serializable
@SerialName("run-ended")
data class RunEnded(
    val run: RunId,
    val end: RunEnd,
    val runMillis: Double,
) : Message

/** Tells another entry which version of the operators' configuration is in force; 0 if there is none yet. */
@Serializable
@SerialName("configuration-version")
data class ConfigurationVersion(
    val version: Long,
) : Message

/** Asks another entry for its configuration. */
@Serializable
@SerialName("configuration-request")
data object ConfigurationRequest : Message

/** The whole configuration as the store holds it. */
@Serializable
@SerialName("configuration")
data class ConfigurationDocument(
    val version: Long,
    val document: String,
) : Message
