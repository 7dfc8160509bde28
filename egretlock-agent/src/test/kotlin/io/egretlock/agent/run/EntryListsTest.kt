package io.egretlock.agent.run

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EntryListsTest {
    private val lists = EntryLists()

    @Test
    fun `a changed list is sent once, and the next change after the interval`() {
        assertFalse(lists.isDue(0))
        lists.markChanged()
        assertTrue(lists.isDue(0))
        assertFalse(lists.isDue(EntryLists.INTERVAL_MILLIS))
        lists.markChanged()
        assertTrue(lists.isDue(EntryLists.INTERVAL_MILLIS))
        lists.markChanged()
        assertFalse(lists.isDue(2 * EntryLists.INTERVAL_MILLIS - 1))
        assertTrue(lists.isDue(2 * EntryLists.INTERVAL_MILLIS))
    }
}
