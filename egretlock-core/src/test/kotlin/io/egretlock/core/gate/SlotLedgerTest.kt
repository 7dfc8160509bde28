package io.egretlock.core.gate

import io.egretlock.core.gate.CreditAction.Grant
import io.egretlock.core.gate.CreditAction.Recall
import io.egretlock.core.job.ProcessId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class SlotLedgerTest {
    private val ledger = SlotLedger()
    private val first = ProcessId("entry-1", 1)
    private val second = ProcessId("entry-2", 1)
    private val third = ProcessId("entry-3", 1)
    private val none = emptyList<CreditAction>()

    @Test
    fun `given two idle entries, when slots are added, then they are spread evenly`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        assertEquals(listOf(Grant(first, 4), Grant(second, 4)), ledger.resize(8))
    }

    @Test
    fun `given all credits at one idle entry, when another connects, then half of them are recalled for it`() {
        ledger.addEntry(first)
        ledger.resize(8)
        assertEquals(listOf(Recall(first, 4)), ledger.addEntry(second))
        assertEquals(listOf(Grant(second, 4)), ledger.recordReturn(first, 4))
    }

    @Test
    fun `given an entry that requested nothing, when another requests credits, then its share is recalled`() {
        ledger.resize(4)
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.recordReturn(first, 2)
        assertEquals(listOf(Recall(second, 2)), ledger.recordRequest(first, 4))
    }

    @Test
    fun `given an unused requested credit, when its entry withdraws the request, then another entry gets it`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.recordRequest(second, 2)
        assertEquals(listOf(Grant(second, 1)), ledger.resize(1))
        assertEquals(none, ledger.recordRequest(first, 1))
        assertEquals(listOf(Recall(second, 1)), ledger.recordRequest(second, 0))
        assertEquals(listOf(Grant(first, 1)), ledger.recordReturn(second, 1))
    }

    @Test
    fun `given an entry under load, when another connects without a request, then freed slots stay with the first`() {
        ledger.resize(2)
        ledger.addEntry(first)
        ledger.recordRequest(first, 5)
        repeat(2) { assertTrue(ledger.spendCredit(first)) }
        ledger.addEntry(second)
        assertEquals(ReleasedSlot(isRegranted = true, none), ledger.releaseSlot(first))
    }

    @Test
    fun `given idle credits at one entry, when a loaded entry requests credits, then they are moved to it`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.resize(4)
        assertEquals(listOf(Recall(second, 2)), ledger.recordRequest(first, 2))
        assertTrue(ledger.spendCredit(second))
        assertEquals(listOf(Grant(first, 1)), ledger.recordReturn(second, 1))
    }

    @Test
    fun `given a requested credit, when another entry requests one, then it is not recalled until withdrawn`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.resize(1)
        val holder = listOf(first, second).single { ledger.grantedTo(it) == 1 }
        val requesting = listOf(first, second).single { it != holder }
        assertEquals(listOf(Recall(holder, 1)), ledger.recordRequest(requesting, 1))
        assertEquals(listOf(Grant(requesting, 1)), ledger.recordReturn(holder, 1))
        assertEquals(none, ledger.recordRequest(holder, 1))
        assertEquals(listOf(Recall(requesting, 1)), ledger.recordRequest(requesting, 0))
    }

    @Test
    fun `given an outstanding recall, when the request is repeated, then nothing is recalled twice`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.resize(4)
        ledger.recordRequest(first, 1)
        assertEquals(none, ledger.recordRequest(first, 1))
    }

    @Test
    fun `given one requesting entry, when its task ends, then the slot stays with it`() {
        ledger.addEntry(first)
        ledger.resize(1)
        ledger.recordRequest(first, 5)
        assertTrue(ledger.spendCredit(first))
        assertEquals(ReleasedSlot(isRegranted = true, none), ledger.releaseSlot(first))
    }

    @Test
    fun `given a requesting entry that holds fewer slots, when another's task ends, then the slot goes to it`() {
        ledger.addEntry(first)
        ledger.resize(2)
        repeat(2) { assertTrue(ledger.spendCredit(first)) }
        ledger.addEntry(second)
        ledger.recordRequest(first, 5)
        ledger.recordRequest(second, 5)
        assertEquals(ReleasedSlot(isRegranted = false, listOf(Grant(second, 1))), ledger.releaseSlot(first))
        assertEquals(ReleasedSlot(isRegranted = true, none), ledger.releaseSlot(first))
    }

    @Test
    fun `given more requesting entries than slots, when tasks end, then slots rotate among the entries`() {
        val entries = listOf(first, second, third)
        entries.forEach { ledger.addEntry(it) }
        ledger.resize(1)
        entries.forEach { ledger.recordRequest(it, 9) }
        var holder = entries.single { ledger.grantedTo(it) == 1 }
        val holders =
            List(6) {
                ledger.spendCredit(holder)
                ledger.releaseSlot(holder)
                holder = entries.single { ledger.grantedTo(it) == 1 }
                holder
            }
        assertEquals(entries.toSet(), holders.take(3).toSet())
        assertEquals(holders.take(3), holders.drop(3))
    }

    @Test
    fun `given no credit, when a start arrives, then no credit is spent`() {
        ledger.addEntry(first)
        assertFalse(ledger.spendCredit(first))
    }

    @Test
    fun `given credits, when the slots are removed, then all are recalled and none can be spent`() {
        ledger.addEntry(first)
        ledger.resize(2)
        assertEquals(listOf(Recall(first, 2)), ledger.resize(0))
        assertFalse(ledger.spendCredit(first))
        assertEquals(none, ledger.recordReturn(first, 1))
        assertEquals(0, ledger.granted)
    }

    @Test
    fun `given credits, when their connection ends, then they are granted to the other entry`() {
        ledger.addEntry(first)
        ledger.addEntry(second)
        ledger.resize(4)
        assertEquals(listOf(Grant(second, 2)), ledger.removeEntry(first))
    }

    @Test
    fun `given a requesting entry with unused credits, when another entry is starved, then one is recalled`() {
        ledger.addEntry(first)
        ledger.resize(2)
        ledger.addEntry(second)
        ledger.recordRequest(first, 5)
        ledger.recordReturn(first, 0)
        ledger.recordRequest(second, 1)
        assertEquals(listOf(Recall(first, 1)), ledger.recallForStarvedEntries())
        assertEquals(none, ledger.recallForStarvedEntries())
        assertEquals(listOf(Grant(second, 1)), ledger.recordReturn(first, 1))
    }
}
