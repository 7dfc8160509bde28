package io.egretlock.agent.run

import io.egretlock.core.job.ProcessId
import io.egretlock.protocol.ConnectedEntries
import io.egretlock.protocol.Link

/**
 * Sends the list of connected entries to all of them whenever it has changed. When a fleet starts, entries connect one
 * after the other; the list is therefore sent at most once in [INTERVAL_MILLIS], except to an entry that connects.
 */
internal class EntryLists {
    private var sentAtMillis: Long? = null
    private var isChanged = false

    /** Records that an entry has connected or was lost. */
    fun markChanged() {
        isChanged = true
    }

    /** Sends the list of [entries] over the new connection [link], as its first message. */
    fun sendFirst(
        link: Link,
        entries: Map<Link, ProcessId>,
    ) {
        link.send(messageOf(entries))
    }

    /** Sends the list of [entries] to all of them if it is due; returns whether a changed list has to wait. */
    fun sendIfDue(
        nowMillis: Long,
        entries: () -> Map<Link, ProcessId>,
    ): Boolean {
        if (!isDue(nowMillis)) return isChanged
        val receivers = entries()
        receivers.keys.forEach { it.send(messageOf(receivers)) }
        return false
    }

    /** Whether a changed list has to be sent now; if so, it is recorded as sent. */
    internal fun isDue(nowMillis: Long): Boolean {
        val isTooEarly = sentAtMillis?.let { nowMillis - it < INTERVAL_MILLIS } ?: false
        if (!isChanged || isTooEarly) return false
        isChanged = false
        sentAtMillis = nowMillis
        return true
    }

    private fun messageOf(entries: Map<Link, ProcessId>) = ConnectedEntries(entries.values.distinct())

    companion object {
        const val INTERVAL_MILLIS = 100L
    }
}
