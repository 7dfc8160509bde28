package io.egretlock.testing.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PropagationAuditTest {
    private val edit = AcceptedEdit(revision = 5, atMillis = 1_000)

    @Test
    fun `given an edit in force in time, when audited, then there is no fault`() {
        val audit = audit(sample(900, 4), sample(1_500, 5))
        assertEquals(emptyList<String>(), audit.faults())
        assertEquals(500, audit.longestDelayMillis())
    }

    @Test
    fun `given an edit in force too late or never, when audited, then each is a fault`() {
        val late = listOf("entry (7): revision 5 late")
        assertEquals(late, audit(sample(900, 4), sample(8_000, 5)).faults())
        assertEquals(late, audit(sample(900, 4), sample(8_000, 4)).faults())
    }

    @Test
    fun `given a process that ended within the allowed time, when audited, then there is no fault`() {
        assertEquals(emptyList<String>(), audit(sample(900, 4), sample(6_000, 4)).faults())
    }

    @Test
    fun `given an outage after the acceptance, when audited, then time counts from the store's return`() {
        val samples = listOf(sample(900, 4), sample(12_000, 5))
        assertEquals(2_000, PropagationAudit(samples, listOf(edit), listOf(OUTAGE), 6_000).longestDelayMillis())
    }

    @Test
    fun `given a revision that goes down, when audited, then it is a fault, unless the process was restarted`() {
        val down = audit(sample(900, 6), sample(1_000, 5), sample(1_100, 5, pid = 8))
        assertEquals(listOf("entry: revision 6 went down to 5"), down.faults())
    }

    private fun audit(vararg samples: RevisionSample) =
        PropagationAudit(samples.toList(), listOf(edit), outages = emptyList(), allowedMillis = 6_000)

    private fun sample(
        atMillis: Long,
        revision: Long,
        pid: Long = 7,
    ) = RevisionSample("entry", pid, atMillis, revision)

    private companion object {
        val OUTAGE = StoreOutage(fromMillis = 2_000, untilMillis = 10_000)
    }
}
