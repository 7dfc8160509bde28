package io.egretlock.core.placement

/**
 * Part of every limit that one entry enforces. Job ids spread evenly over the entries, so each enforces its share.
 *
 * @property position of this entry among the entries, from 0.
 * @property count entries that share the limits.
 */
data class EntryShare(
    val position: Int = 0,
    val count: Int = 1,
) {
    init {
        require(count >= 1 && position in 0 until count) { "no entry $position among $count" }
    }

    /** This entry's part of [limit]; at least 1, so that no job waits for ever. */
    fun of(limit: Int): Int {
        val remainder = if (position < limit % count) 1 else 0
        return (limit / count + remainder).coerceAtLeast(1)
    }
}
