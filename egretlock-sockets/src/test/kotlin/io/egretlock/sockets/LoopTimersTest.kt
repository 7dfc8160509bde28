package io.egretlock.sockets

import kotlinx.coroutines.Runnable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

class LoopTimersTest {
    private val timers = LoopTimers()
    private val action = Runnable { }

    private fun add(dueNanos: Long) = LoopTimer(dueNanos, action).also { timers.add(it) }

    @Test
    fun `a timer is due at its time and not before`() {
        add(2_000_000)
        assertNull(timers.pollDue(1_999_999))
        assertSame(action, timers.pollDue(2_000_000))
        assertNull(timers.pollDue(2_000_000))
    }

    @Test
    fun `the wait is that for the next timer, rounded up`() {
        add(5_000_000)
        add(2_000_001)
        assertEquals(3, timers.waitMillis(0))
        assertEquals(0, timers.waitMillis(9_000_000))
    }

    @Test
    fun `a disposed timer is neither waited for nor due`() {
        add(1_000_000).dispose()
        add(7_000_000)
        assertEquals(7, timers.waitMillis(0))
        assertNull(timers.pollDue(2_000_000))
    }

    @Test
    fun `the order is kept when the clock overflows`() {
        add(Long.MAX_VALUE - 1)
        add(Long.MIN_VALUE + 1_000_000)
        assertSame(action, timers.pollDue(Long.MAX_VALUE))
        assertNull(timers.pollDue(Long.MAX_VALUE))
        assertSame(action, timers.pollDue(Long.MIN_VALUE + 1_000_000))
    }
}
