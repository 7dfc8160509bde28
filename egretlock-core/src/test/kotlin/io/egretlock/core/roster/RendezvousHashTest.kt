package io.egretlock.core.roster

import io.egretlock.core.job.JobId
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class RendezvousHashTest {
    private val members = (1..4).map { EntryMember(ProcessId("entry-$it", 1), NodeAddress("127.0.0.1", 7000 + it)) }
    private val ids = (1..4_000).map { JobId("job-$it") }

    @Test
    fun `given no members, when the home is computed, then there is none`() {
        assertNull(RendezvousHash.home(emptyList(), JobId("job-1")))
    }

    @Test
    fun `given a member that leaves, when homes are compared, then only its jobs have moved`() {
        val remaining = members.drop(1)
        val moved = ids.filter { RendezvousHash.home(members, it) != RendezvousHash.home(remaining, it) }
        assertEquals(ids.filter { RendezvousHash.home(members, it) == members.first() }, moved)
    }

    @Test
    fun `given four members, when many jobs are hashed, then each is home to about a quarter`() {
        val shares = ids.groupingBy { RendezvousHash.home(members, it) }.eachCount()
        assertTrue(shares.size == 4 && shares.values.all { it in 900..1_100 }, "$shares")
    }
}
