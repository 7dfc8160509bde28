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

    @Test
    fun `given a small limit, when rotated, then the parts add up and the remainder moves`() {
        assertEquals(listOf(2, 1, 1), List(3) { EntryShare(it, 3).ofRotated(4, 0) })
        assertEquals(listOf(1, 1, 2), List(3) { EntryShare(it, 3).ofRotated(4, 1) })
    }
}
