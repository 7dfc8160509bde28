package io.egretlock.core.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FencingTokenTest {
    @Test
    fun `a refused token is followed by a higher one, in growing steps`() {
        val token = FencingToken(1_000)
        token.refused(1_000)
        val second = token.value
        token.refused(second)
        assertTrue(token.value - second > second - 1_000)
    }

    @Test
    fun `a late refusal of an earlier token changes nothing`() {
        val token = FencingToken(1_000)
        token.refused(1_000)
        val second = token.value
        token.refused(1_000)
        assertEquals(second, token.value)
    }
}
