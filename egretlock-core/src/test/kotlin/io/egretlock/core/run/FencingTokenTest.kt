package io.egretlock.core.run

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class FencingTokenTest {
    @Test
    fun `each refusal raises the token by a larger step`() {
        val token = FencingToken(1_000)
        token.onRefused(1_000)
        val second = token.value
        token.onRefused(second)
        assertTrue(token.value - second > second - 1_000)
    }

    @Test
    fun `a late refusal of an earlier token is ignored`() {
        val token = FencingToken(1_000)
        token.onRefused(1_000)
        val second = token.value
        token.onRefused(1_000)
        assertEquals(second, token.value)
    }

    @Test
    fun `a possible restart of the upstream raises the token`() {
        val token = FencingToken(1_000)
        token.onPossibleRestart()
        assertTrue(token.value > 1_000)
    }
}
