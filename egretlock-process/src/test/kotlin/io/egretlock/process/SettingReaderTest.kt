package io.egretlock.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class SettingReaderTest {
    private val drain = Setting("drain-millis", "Time for a graceful shutdown.", "5000")

    @Test
    fun `given a flag and a variable, when read, then the flag overrides the variable`() {
        val reader = SettingReader(mapOf("drain-millis" to "7"), mapOf("EGRETLOCK_DRAIN_MILLIS" to "9"))
        assertEquals(7, reader.number(drain, 1L..10L))
    }

    @Test
    fun `given neither flag nor variable, when read, then the default is used`() {
        assertEquals(5_000, SettingReader(emptyMap(), emptyMap()).number(drain, 1L..10_000L))
    }

    @Test
    fun `given a value out of range, when read, then the fault names flag, value and what is allowed`() {
        val reader = SettingReader(mapOf("drain-millis" to "-1"), emptyMap())
        reader.number(drain, 1L..10L)
        assertEquals(
            listOf(
                "--drain-millis (EGRETLOCK_DRAIN_MILLIS): '-1' is not allowed; " +
                    "allowed: a whole number from 1 to 10.",
            ),
            reader.faults.map { it.toString() },
        )
    }

    @Test
    fun `given an address that is not local, when its token is missing or short, then a fault is reported`() {
        val address = Setting("operators-address", "Where operators look.", "127.0.0.1:8081")
        val token = Setting("operator-token", "Bearer token.", secret = true)
        assertNull(SettingReader(emptyMap(), emptyMap()).operatorToken(token, address))
        val reader = SettingReader(mapOf("operators-address" to "10.0.0.1:8081"), emptyMap())
        reader.operatorToken(token, address)
        val expected =
            "--operator-token (EGRETLOCK_OPERATOR_TOKEN): missing is not allowed; " +
                "allowed: a token of at least 16 characters, as --operators-address is not local."
        assertEquals(listOf(expected), reader.faults.map { it.toString() })
    }

    @Test
    fun `given several faults, when read, then all of them are collected`() {
        val reader = SettingReader(mapOf("drain-millis" to "x"), emptyMap())
        reader.number(drain, 1L..10L)
        reader.address(Setting("link-address", "Where agents dial."))
        assertEquals(listOf("drain-millis", "link-address"), reader.faults.map { it.setting.flag })
    }
}
