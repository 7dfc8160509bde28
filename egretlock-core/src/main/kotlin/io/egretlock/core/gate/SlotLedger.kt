package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId

/** A message about credits that an agent has to send to an entry. */
sealed interface CreditAction {
    val entry: ProcessId
    val count: Int

    /** Permits [entry] to start [count] more tasks. */
    data class Grant(
        override val entry: ProcessId,
        override val count: Int,
    ) : CreditAction

    /** Asks [entry] to return up to [count] unused credits. */
    data class Recall(
        override val entry: ProcessId,
        override val count: Int,
    ) : CreditAction
}

/**
 * Result of releasing the slot of a task that ended.
 *
 * @property isRegranted whether the slot is granted to the same entry again.
 * @property actions messages to send because slots were granted to other entries or credits recalled.
 */
data class ReleasedSlot(
    val isRegranted: Boolean,
    val actions: List<CreditAction>,
)

/**
 * Grants the slots of one agent as credits, each to one entry at a time.
 *
 * Running tasks and granted credits never exceed the slots. A free slot goes to the requesting entry that holds the
 * fewest slots and, among equals, was granted one least recently. While no entry requests credits, free slots are
 * spread over the connected entries, so that an idle system starts tasks without waiting for a grant. A request beyond
 * the free slots is met by recalling credits that other entries do not use. Credits end with the connection on which
 * they were granted. Not safe for concurrent use: confined to the coroutine that owns the agent's state.
 */
class SlotLedger {
    private val entries = LinkedHashMap<ProcessId, EntryCredits>()
    private var grantSequence = 0L

    /** Number of slots that may be used; 0 while there is no upstream or the upstream is leaving. */
    var slots: Int = 0
        private set

    /** Number of tasks that hold a slot. */
    var running: Int = 0
        private set

    /** Number of credits granted and not yet spent. */
    val granted: Int
        get() = entries.values.sumOf { it.granted }

    private val free: Int
        get() = slots - running - granted

    /** Returns the number of unspent credits of [entry]. */
    fun grantedTo(entry: ProcessId): Int = entries[entry]?.granted ?: 0

    /** Changes the number of slots. Recalls unused credits if running tasks and credits exceed the new number. */
    fun resize(newSlots: Int): List<CreditAction> {
        slots = newSlots
        return distribute() + recallExcess()
    }

    /** Removes all slots and all credits. Running tasks keep their slots until they end. */
    fun withdraw() {
        slots = 0
        entries.values.forEach { it.clear() }
    }

    /** Adds an entry, which wants an even share of the slots until its first request. */
    fun addEntry(entry: ProcessId): List<CreditAction> {
        val credits = EntryCredits(entry)
        entries[entry] = credits
        credits.wanted = slots / entries.size
        return rebalance()
    }

    /** Removes an entry and its credits. Its running tasks keep their slots. */
    fun removeEntry(entry: ProcessId): List<CreditAction> {
        entries.remove(entry)
        return rebalance()
    }

    /** Records that [entry] can use [wanted] more credits immediately. */
    fun recordRequest(
        entry: ProcessId,
        wanted: Int,
    ): List<CreditAction> {
        entries[entry]?.request(wanted.coerceAtLeast(0))
        return rebalance()
    }

    /** Takes back [count] credits in reply to the oldest pending recall of [entry]. */
    fun recordReturn(
        entry: ProcessId,
        count: Int,
    ): List<CreditAction> {
        entries[entry]?.giveBack(count)
        return rebalance()
    }

    /**
     * Spends a credit of [entry] on a task. Returns false if the entry has no credit, or if no slot is left for the
     * credit, which is lost then.
     */
    fun spendCredit(entry: ProcessId): Boolean {
        val credits = entries[entry] ?: return false
        if (credits.granted == 0) return false
        credits.spend()
        if (running >= slots) return false
        credits.running++
        running++
        return true
    }

    /** Releases the slot of a task that [entry] started and grants it again, to the same entry only if [reusable]. */
    fun releaseSlot(
        entry: ProcessId,
        reusable: Boolean = true,
    ): ReleasedSlot {
        running--
        entries[entry]?.release()
        val next = if (free > 0) nextForGrant() else null
        if (!reusable || next == null || next.entry != entry) return ReleasedSlot(isRegranted = false, rebalance())
        grantOne(next)
        return ReleasedSlot(isRegranted = true, rebalance())
    }

    /** Grants free slots and recalls unused credits for unmet requests, for example after a refused start. */
    fun rebalance(): List<CreditAction> = distribute() + recallForRequests()

    /**
     * Recalls one unused credit for each requesting entry that has neither a credit nor a running task. Also recalls
     * from entries that are requesting credits themselves.
     */
    fun recallForStarvedEntries(): List<CreditAction> {
        val starved = entries.values.count { it.isRequesting && it.held == 0 }
        val needed = starved - entries.values.sumOf { it.recalled }
        return recall(needed) { it.unused }
    }

    private fun distribute(): List<CreditAction> {
        val grants = LinkedHashMap<ProcessId, Int>()
        while (free > 0) {
            val credits = nextForGrant() ?: break
            grantOne(credits)
            grants.merge(credits.entry, 1, Int::plus)
        }
        return grants.map { (entry, count) -> CreditAction.Grant(entry, count) }
    }

    private fun nextForGrant(): EntryCredits? =
        entries.values.filter { it.isRequesting }.minWithOrNull(compareBy({ it.held }, { it.lastGrantSequence }))
            ?: entries.values.minWithOrNull(compareBy({ it.granted }, { it.lastGrantSequence }))

    private fun grantOne(credits: EntryCredits) {
        credits.grant(++grantSequence)
    }

    private fun recallForRequests(): List<CreditAction> {
        val needed = entries.values.sumOf { it.wanted.toLong() } - entries.values.sumOf { it.recalled }
        return recall(needed.coerceIn(0L, slots.toLong()).toInt()) { it.spare }
    }

    private fun recallExcess(): List<CreditAction> =
        recall(running + granted - slots - entries.values.sumOf { it.recalled }) { it.unused }

    private fun recall(
        needed: Int,
        recallable: (EntryCredits) -> Int,
    ): List<CreditAction> {
        val recalls = LinkedHashMap<EntryCredits, Int>()
        repeat(needed) {
            val candidate = entries.values.filter { recallable(it) > 0 }.maxByOrNull(recallable) ?: return@repeat
            candidate.recalled++
            recalls.merge(candidate, 1, Int::plus)
        }
        return recalls.map { (credits, count) ->
            credits.pendingRecalls.addLast(count)
            CreditAction.Recall(credits.entry, count)
        }
    }

    /** Credits and running tasks of one connected entry. */
    private class EntryCredits(
        val entry: ProcessId,
    ) {
        var granted = 0
        var running = 0
        var wanted = 0
        var isRequesting = false

        /** Granted credits that the entry had requested. */
        var grantedOnRequest = 0

        /** Credits in pending recalls. */
        var recalled = 0
        var lastGrantSequence = 0L

        /** Sizes of the pending recalls, oldest first. */
        val pendingRecalls = ArrayDeque<Int>()

        val held: Int
            get() = granted + running

        /** Credits that are not part of a pending recall. */
        val unused: Int
            get() = granted - recalled

        /** Unused credits that the entry did not request; 0 while it is requesting. */
        val spare: Int
            get() = if (isRequesting) 0 else unused - grantedOnRequest

        fun clear() {
            granted = 0
            grantedOnRequest = 0
            recalled = 0
            pendingRecalls.clear()
        }

        fun request(count: Int) {
            wanted = count
            isRequesting = count > 0
            if (!isRequesting) grantedOnRequest = 0
        }

        fun grant(grantSequence: Long) {
            granted++
            lastGrantSequence = grantSequence
            if (isRequesting) grantedOnRequest++
            if (wanted > 0) wanted--
            if (wanted == 0) isRequesting = false
        }

        fun spend() {
            take(1)
        }

        fun giveBack(count: Int) {
            val asked = pendingRecalls.removeFirstOrNull() ?: return
            recalled -= asked
            take(count.coerceIn(0, minOf(asked, granted)))
        }

        fun release() {
            if (running > 0) running--
        }

        private fun take(count: Int) {
            granted -= count
            grantedOnRequest = (grantedOnRequest - count).coerceAtLeast(0)
        }
    }
}
