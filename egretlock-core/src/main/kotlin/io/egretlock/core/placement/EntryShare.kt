package io.egretlock.core.placement

/**
 * Share of every limit that one entry enforces. A share suffices because job ids spread evenly over the entries.
 *
 * @property position of this entry among the entries, from 0.
 * @property count number of entries that share the limits.
 */
data class EntryShare(
    val position: Int = 0,
    val count: Int = 1,
) {
    init {
        require(count >= 1 && position in 0 until count) { "position $position is out of range for $count entries" }
    }

    /** Returns this entry's share of [limit]; at least 1, so that no job waits forever. */
    fun of(limit: Int): Int {
        val remainder = if (position < limit % count) 1 else 0
        return (limit / count + remainder).coerceAtLeast(1)
    }
}
