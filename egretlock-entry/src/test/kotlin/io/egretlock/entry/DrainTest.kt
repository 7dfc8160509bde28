package io.egretlock.entry

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class DrainTest {
    private var nowMillis = 5_000L
    private val drain = Drain { nowMillis }

    @Test
    fun `given a drain that has begun, when no request arrives, then it is quiet after the notice time`() {
        drain.begin()
        nowMillis += NOTICE_MILLIS - 1
        assertFalse(drain.isIdle(NOTICE_MILLIS))
        nowMillis += 1
        assertTrue(drain.isIdle(NOTICE_MILLIS))
    }

    @Test
    fun `given a load balancer that still sends requests, when the notice time is over, then the drain is not quiet`() {
        drain.begin()
        repeat(3) {
            nowMillis += NOTICE_MILLIS
            drain.beginRequest()
            drain.endRequest()
            assertFalse(drain.isIdle(NOTICE_MILLIS))
        }
        nowMillis += NOTICE_MILLIS
        assertTrue(drain.isIdle(NOTICE_MILLIS))
    }

    @Test
    fun `given a request in flight, when its answer leaves, then the drain is quiet after another notice time`() {
        drain.begin()
        drain.beginRequest()
        nowMillis += 10 * NOTICE_MILLIS
        assertFalse(drain.isIdle(NOTICE_MILLIS))
        drain.endRequest()
        assertFalse(drain.isIdle(NOTICE_MILLIS))
        nowMillis += NOTICE_MILLIS
        assertTrue(drain.isIdle(NOTICE_MILLIS))
    }

    private companion object {
        const val NOTICE_MILLIS = 600L
    }
}
