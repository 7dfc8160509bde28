package io.egretlock.entry

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.LogFormat
import io.egretlock.process.Setting
import io.egretlock.process.SettingReader
import io.egretlock.protocol.LinkTiming

/**
 * Settings of one entry process, read once at start.
 *
 * @property callersAddress listening address for callers, who submit jobs.
 * @property operatorsAddress listening address for operators, who edit settings and inspect the process.
 * @property linkAddress listening address for agents and other entries.
 * @property advertisedLinkAddress address that agents and other entries dial; differs behind address translation.
 * @property storeAddresses addresses of the platform's key-value service.
 * @property operatorToken bearer token for the inspection routes; null where their address is local.
 * @property teamTokens tokens for editing the settings of a team; a team without a token can't be edited here.
 * @property noticeMillis time without any request after which a graceful shutdown closes the listeners.
 * @property drainMillis time after which a graceful shutdown stops waiting for requests and jobs in flight.
 */
data class EntrySettings(
    val name: String,
    val failureDomain: FailureDomain,
    val callersAddress: NodeAddress,
    val operatorsAddress: NodeAddress,
    val linkAddress: NodeAddress,
    val advertisedLinkAddress: NodeAddress,
    val storeAddresses: List<NodeAddress>,
    val operatorToken: String?,
    val teamTokens: TeamTokens,
    val timing: LinkTiming,
    val noticeMillis: Long,
    val drainMillis: Long,
    val logFormat: LogFormat,
) {
    companion object {
        private val NAME = Setting("name", "Name of this process, unique among entries.")
        private val FAILURE_DOMAIN = Setting("failure-domain", "Failure domain that this process runs in.")
        private val CALLERS = Setting("callers-address", "Address for callers.", "127.0.0.1:8080")
        private val OPERATORS = Setting("operators-address", "Address for operators.", "127.0.0.1:8081")
        private val LINK = Setting("link-address", "Address that agents and entries dial.", "127.0.0.1:7000")
        private val ADVERTISED_LINK =
            Setting("advertised-link-address", "Address told to agents and entries, if not the link address.")
        private val STORE = Setting("store-address", "URLs of the key-value service, separated by commas.")
        private val TOKEN =
            Setting("operator-token", "Bearer token for inspection; needed if not on loopback.", secret = true)
        private val TEAM_TOKENS =
            Setting("team-tokens", "Tokens for editing settings, as team=token,team=token.", secret = true)
        private val HEARTBEAT = Setting("heartbeat-millis", "Interval between heartbeats.", "500")
        private val SILENCE = Setting("silence-millis", "Silence that ends a connection.", "2000")
        private val NOTICE =
            Setting("notice-millis", "Time that the balancer has to notice a graceful shutdown.", "3000")
        private val DRAIN = Setting("drain-millis", "Longest graceful shutdown.", "30000")
        private val LOG_FORMAT = Setting("log-format", "Form of the log: text or json.", "text")
        private val HEARTBEAT_RANGE_MILLIS = 10L..10_000L
        private val SILENCE_RANGE_MILLIS = 50L..60_000L
        private val DRAIN_RANGE_MILLIS = 0L..600_000L

        /** All settings, for the help text and for the check for unknown flags. */
        val ALL: List<Setting> =
            listOf(
                NAME,
                FAILURE_DOMAIN,
                CALLERS,
                OPERATORS,
                LINK,
                ADVERTISED_LINK,
                STORE,
                TOKEN,
                TEAM_TOKENS,
                HEARTBEAT,
                SILENCE,
                NOTICE,
                DRAIN,
                LOG_FORMAT,
            )

        /** The settings that a command needs to reach a running entry. */
        val INSPECTION: List<Setting> = listOf(OPERATORS, TOKEN)

        /** Reads all settings and collects faults in [reader]. */
        fun read(reader: SettingReader): EntrySettings =
            EntrySettings(
                name = reader.name(NAME),
                failureDomain = FailureDomain(reader.name(FAILURE_DOMAIN)),
                callersAddress = reader.address(CALLERS),
                operatorsAddress = operatorsAddress(reader),
                linkAddress = reader.address(LINK),
                advertisedLinkAddress = reader.address(advertisedLink(reader)),
                storeAddresses = storeAddresses(reader),
                operatorToken = operatorToken(reader),
                teamTokens = teamTokens(reader),
                timing =
                    LinkTiming(
                        heartbeatMillis = reader.number(HEARTBEAT, HEARTBEAT_RANGE_MILLIS),
                        silenceMillis = reader.number(SILENCE, SILENCE_RANGE_MILLIS),
                    ),
                noticeMillis = reader.number(NOTICE, DRAIN_RANGE_MILLIS),
                drainMillis = reader.number(DRAIN, DRAIN_RANGE_MILLIS),
                logFormat = LogFormat.valueOf(reader.choice(LOG_FORMAT, listOf("text", "json")).uppercase()),
            )

        private fun advertisedLink(reader: SettingReader): Setting =
            if (reader.optional(ADVERTISED_LINK) == null) LINK else ADVERTISED_LINK

        private fun storeAddresses(reader: SettingReader): List<NodeAddress> =
            reader.read(STORE, "addresses as http://host:port, separated by commas", emptyList()) { text ->
                val parsed = text.split(',').map { NodeAddress.parse(it.trim().removePrefix("http://")) }
                parsed.filterNotNull().takeIf { it.size == parsed.size }
            }

        /** Address of the operators' routes. */
        fun operatorsAddress(reader: SettingReader): NodeAddress = reader.address(OPERATORS)

        /** Bearer token of the inspection routes; required unless their address is local. */
        fun operatorToken(reader: SettingReader): String? = reader.operatorToken(TOKEN, OPERATORS)

        private fun teamTokens(reader: SettingReader): TeamTokens {
            val none = TeamTokens(emptyMap())
            if (reader.optional(TEAM_TOKENS) == null) return none
            return reader.read(TEAM_TOKENS, TeamTokens.ALLOWED, none, TeamTokens::parse)
        }
    }
}
