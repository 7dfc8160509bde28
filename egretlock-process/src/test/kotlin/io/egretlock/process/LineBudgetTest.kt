package io.egretlock.process

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class LineBudgetTest {
    private var nowNanos = 5L
    private val budget = LineBudget(linesPerSecond = 2) { nowNanos }

    private fun lines(count: Int) = List(count) { budget.omittedBeforeLine() }

    @Test
    fun `lines beyond the budget are left out and counted on the next line`() {
        assertEquals(listOf(0L, 0L, null, null, null), lines(5))
        nowNanos += 1_000_000_000
        assertEquals(listOf(3L, 0L, null), lines(3))
    }

    @Test
    fun `the budget is renewed each second`() {
        repeat(5) {
            assertEquals(listOf(0L, 0L), lines(2))
            nowNanos += 1_000_000_000
        }
    }
}
