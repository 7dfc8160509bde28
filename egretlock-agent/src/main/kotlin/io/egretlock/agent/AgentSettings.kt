package io.egretlock.agent

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.LogFormat
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import io.egretlock.protocol.LinkTiming

/**
 * Validated settings of an agent process.
 *
 * @property entries link addresses of entries, which are dialled even before a roster is known.
 * @property operatorToken bearer token for the operators' routes; null if none is required.
 * @property drainMillis longest time for a graceful shutdown.
 */
data class AgentSettings(
    val name: String,
    val failureDomain: FailureDomain,
    val announceAddress: NodeAddress,
    val operatorsAddress: NodeAddress,
    val entries: List<NodeAddress>,
    val operatorToken: String?,
    val timing: LinkTiming,
    val drainMillis: Long,
    val logFormat: LogFormat,
) {
    companion object {
        private const val LONGEST_INTERVAL_MILLIS = 60_000L
        private const val LONGEST_DRAIN_MILLIS = 3_600_000L

        private val NAME = Setting("name", "Name of this agent, unique among agents.")
        private val FAILURE_DOMAIN = Setting("failure-domain", "Failure domain that this agent is in.")
        private val ANNOUNCE_ADDRESS =
            Setting("announce-address", "Where the upstream announces itself.", "127.0.0.1:8090")
        private val OPERATORS_ADDRESS =
            Setting("operators-address", "Where /live, /ready, /metrics and /dump are served.", "127.0.0.1:8091")
        private val ENTRIES = Setting("entries", "Link addresses of entries, separated by commas.")
        private val OPERATOR_TOKEN =
            Setting("operator-token", "Bearer token for /metrics and /dump; needed if not on loopback.", secret = true)
        private val HEARTBEAT = Setting("heartbeat-millis", "Interval between heartbeats.", "500")
        private val SILENCE = Setting("silence-millis", "Silence after which a connection is given up.", "2000")
        private val DRAIN = Setting("drain-millis", "Longest time for a graceful shutdown.", "30000")
        private val LOG_FORMAT = Setting("log-format", "Form of the log: text or json.", "text")

        /** All settings of `egretlock-agent run`. */
        val ALL =
            listOf(
                NAME,
                FAILURE_DOMAIN,
                ANNOUNCE_ADDRESS,
                OPERATORS_ADDRESS,
                ENTRIES,
                OPERATOR_TOKEN,
                HEARTBEAT,
                SILENCE,
                DRAIN,
                LOG_FORMAT,
            )

        /** Settings of `egretlock-agent dump`. */
        val DUMP = listOf(OPERATORS_ADDRESS, OPERATOR_TOKEN)

        /** Reads all settings; they are valid only if [reader] has collected no fault. */
        fun read(reader: SettingReader): AgentSettings =
            AgentSettings(
                name = reader.name(NAME),
                failureDomain = FailureDomain(reader.name(FAILURE_DOMAIN)),
                announceAddress = reader.address(ANNOUNCE_ADDRESS),
                operatorsAddress = reader.address(OPERATORS_ADDRESS),
                entries = reader.addresses(ENTRIES),
                operatorToken = readOperatorToken(reader),
                timing = readTiming(reader),
                drainMillis = reader.number(DRAIN, 0..LONGEST_DRAIN_MILLIS),
                logFormat = LogFormat.valueOf(reader.choice(LOG_FORMAT, listOf("text", "json")).uppercase()),
            )

        /** Reads the address at which a running agent serves the operators' routes. */
        fun readOperatorsAddress(reader: SettingReader): NodeAddress = reader.address(OPERATORS_ADDRESS)

        /** Reads the operators' token; null if none is set, which is a fault unless their address is on loopback. */
        fun readOperatorToken(reader: SettingReader): String? = reader.operatorToken(OPERATOR_TOKEN, OPERATORS_ADDRESS)

        private fun readTiming(reader: SettingReader): LinkTiming {
            val heartbeatMillis = reader.number(HEARTBEAT, 1..LONGEST_INTERVAL_MILLIS)
            val silenceMillis = reader.number(SILENCE, 2 * heartbeatMillis..LONGEST_INTERVAL_MILLIS)
            return LinkTiming(heartbeatMillis = heartbeatMillis, silenceMillis = silenceMillis)
        }
    }
}
