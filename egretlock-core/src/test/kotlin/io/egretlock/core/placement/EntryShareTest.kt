package io.egretlock.core.placement

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class EntryShareTest {
    @Test
    fun `given a limit, when divided among the entries, then the shares add up to it`() {
        assertEquals(listOf(4, 3, 3), List(3) { EntryShare(it, 3).of(10) })
    }

    @Test
    fun `given a limit below the number of entries, when divided, then each entry gets a share of 1`() {
        assertEquals(listOf(1, 1, 1), List(3) { EntryShare(it, 3).of(2) })
    }
}
