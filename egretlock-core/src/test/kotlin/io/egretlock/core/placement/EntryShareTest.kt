package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EntryShareTest {
    @Test
    fun `given a limit, when shared, then the parts add up to it`() {
        assertEquals(listOf(4, 3, 3), List(3) { EntryShare(it, 3).of(10) })
    }

    @Test
    fun `given a limit below the entries, when shared, then each may run one task`() {
        assertEquals(listOf(1, 1, 1), List(3) { EntryShare(it, 3).of(2) })
    }
}
