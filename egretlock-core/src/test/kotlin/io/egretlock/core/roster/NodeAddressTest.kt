package io.egretlock.core.roster

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class NodeAddressTest {
    @Test
    fun `given a host and a port, when parsed, then both are read`() {
        assertEquals(NodeAddress("127.0.0.1", 7000), NodeAddress.parse("127.0.0.1:7000"))
    }

    @Test
    fun `given a port out of range, when parsed, then there is no address`() {
        assertNull(NodeAddress.parse("127.0.0.1:70000"))
    }

    @Test
    fun `given no host, when parsed, then there is no address`() {
        assertNull(NodeAddress.parse(":7000"))
    }
}
