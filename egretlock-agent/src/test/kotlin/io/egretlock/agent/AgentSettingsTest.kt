package io.egretlock.agent

import io.egretlock.core.job.FailureDomain
import io.egretlock.core.roster.NodeAddress
import io.egretlock.process.LogFormat
import io.egretlock.process.SettingReader
import io.egretlock.protocol.LinkTiming
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class AgentSettingsTest {
    private val required = mapOf("name" to "a1", "failure-domain" to "marka", "entries" to "127.0.0.1:1, 127.0.0.1:2")

    @Test
    fun `given the required flags only, when read, then the others have their defaults`() {
        val expected =
            AgentSettings(
                name = "a1",
                failureDomain = FailureDomain("marka"),
                announceAddress = NodeAddress("127.0.0.1", 8090),
                operatorsAddress = NodeAddress("127.0.0.1", 8091),
                entries = listOf(NodeAddress("127.0.0.1", 1), NodeAddress("127.0.0.1", 2)),
                operatorToken = null,
                timing = LinkTiming(heartbeatMillis = 500, silenceMillis = 2_000),
                drainMillis = 30_000,
                logFormat = LogFormat.TEXT,
            )
        assertEquals(expected, AgentSettings.read(SettingReader(required, emptyMap())))
    }

    @Test
    fun `given no flags and faulty variables, when read, then every fault is reported`() {
        val environment =
            mapOf(
                "EGRETLOCK_NAME" to "a b",
                "EGRETLOCK_HEARTBEAT_MILLIS" to "1500",
                "EGRETLOCK_SILENCE_MILLIS" to "2000",
                "EGRETLOCK_LOG_FORMAT" to "xml",
            )
        val reader = SettingReader(emptyMap(), environment)
        AgentSettings.read(reader)
        val expected =
            listOf(
                "--name (EGRETLOCK_NAME): 'a b' is not allowed; allowed: 1 to 64 letters, digits, '.', '-' or '_'.",
                "--failure-domain (EGRETLOCK_FAILURE_DOMAIN): missing is not allowed; " +
                    "allowed: 1 to 64 letters, digits, '.', '-' or '_'.",
                "--entries (EGRETLOCK_ENTRIES): missing is not allowed; " +
                    "allowed: addresses as host:port, separated by commas.",
                "--silence-millis (EGRETLOCK_SILENCE_MILLIS): '2000' is not allowed; " +
                    "allowed: a whole number from 3000 to 60000.",
                "--log-format (EGRETLOCK_LOG_FORMAT): 'xml' is not allowed; allowed: text or json.",
            )
        assertEquals(expected, reader.faults.map { it.toString() })
    }
}
