package io.egretlock.testing.client

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.UUID
import kotlin.random.Random

class JobIdsTest {
    @Test
    fun `given a creation time, when an id is made, then it is a version 7 UUID of that time`() {
        val id = UUID.fromString(JobIds(Random(seed = 1)).next(createdAtMillis = 1_234_567_890_123))
        assertEquals(7, id.version())
        assertEquals(2, id.variant())
        assertEquals(1_234_567_890_123, id.mostSignificantBits ushr 16)
    }
}
