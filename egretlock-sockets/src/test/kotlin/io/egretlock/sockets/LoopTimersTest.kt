package io.egretlock.sockets

import kotlinx.coroutines.Runnable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertSame
import org.junit.jupiter.api.Test

class LoopTimersTest {
    private val timers = LoopTimers()
    private val action = Runnable { }

    private fun add(atNanos: Long) = LoopTimer(atNanos, action).also { timers.add(it) }

    @Test
    fun `a timer is due at its time and not before`() {
        add(2_000_000)
        assertNull(timers.nextDue(1_999_999))
        assertSame(action, timers.nextDue(2_000_000))
        assertNull(timers.nextDue(2_000_000))
    }

    @Test
    fun `the wait is that for the next timer, rounded up`() {
        add(5_000_000)
        add(2_000_001)
        assertEquals(3, timers.waitMillis(0))
        assertEquals(0, timers.waitMillis(9_000_000))
    }

    @Test
    fun `a timer that was disposed of wakes nobody`() {
        add(1_000_000).dispose()
        add(7_000_000)
        assertEquals(7, timers.waitMillis(0))
        assertNull(timers.nextDue(2_000_000))
    }

    @Test
    fun `a clock that passes its largest number keeps the order`() {
        add(Long.MAX_VALUE - 1)
        add(Long.MIN_VALUE + 1_000_000)
        assertSame(action, timers.nextDue(Long.MAX_VALUE))
        assertNull(timers.nextDue(Long.MAX_VALUE))
        assertSame(action, timers.nextDue(Long.MIN_VALUE + 1_000_000))
    }
}
