package io.egretlock.core.gate

import io.egretlock.core.job.ProcessId

/** A message about credits that an agent owes to an entry. */
sealed interface CreditAction {
    val entry: ProcessId
    val count: Int

    /** Permit [entry] to start [count] more tasks. */
    data class Grant(
        override val entry: ProcessId,
        override val count: Int,
    ) : CreditAction

    /** Ask [entry] to give back up to [count] unused credits. */
    data class Recall(
        override val entry: ProcessId,
        override val count: Int,
    ) : CreditAction
}

/**
 * What becomes of a slot whose task ended.
 *
 * @property credit whether the slot is granted to the same entry again.
 * @property actions messages that follow, when it goes to another entry.
 */
data class FreedSlot(
    val credit: Boolean,
    val actions: List<CreditAction>,
)

/**
 * Grants the slots of one agent as credits, each to one entry at a time.
 *
 * Running tasks and granted credits never exceed the slots. Free slots go to the asking entry that holds least, the one
 * that has waited longest among equals; while nobody asks they are spread over the connected entries so that an idle
 * system starts at once. A request beyond the free slots is met by recalling credits that others do not use. Credits
 * end with the connection they were granted on. Not safe for concurrent use: it is confined to the task that owns the
 * agent's state.
 */
class SlotLedger {
    private val holders = LinkedHashMap<ProcessId, Holder>()
    private var turn = 0L

    /** Slots that may be used; 0 while there is no upstream or it is leaving. */
    var slots: Int = 0
        private set

    /** Tasks that hold a slot. */
    var running: Int = 0
        private set

    /** Credits granted and not yet spent. */
    val granted: Int
        get() = holders.values.sumOf { it.granted }

    private val free: Int
        get() = slots - running - granted

    /** Credits that [entry] holds. */
    fun grantedTo(entry: ProcessId): Int = holders[entry]?.granted ?: 0

    /** Changes the number of slots. With fewer slots than credits, unused credits are recalled. */
    fun resize(newSlots: Int): List<CreditAction> {
        slots = newSlots
        return distribute() + recallExcess()
    }

    /** Takes all slots and all credits away; running tasks keep theirs until they end. */
    fun withdraw() {
        slots = 0
        holders.values.forEach { it.clear() }
    }

    /** Adds an entry, which asks for an even share until it says what it wants. */
    fun connected(entry: ProcessId): List<CreditAction> {
        val holder = Holder(entry)
        holders[entry] = holder
        holder.wanted = slots / holders.size
        return settle()
    }

    /** Removes an entry together with its credits; its running tasks keep their slots. */
    fun disconnected(entry: ProcessId): List<CreditAction> {
        holders.remove(entry)
        return settle()
    }

    /** Records that [entry] could use [wanted] more credits at once. */
    fun requested(
        entry: ProcessId,
        wanted: Int,
    ): List<CreditAction> {
        holders[entry]?.ask(wanted.coerceAtLeast(0))
        return settle()
    }

    /** Takes back [count] credits: the answer to the oldest recall of [entry]. */
    fun returned(
        entry: ProcessId,
        count: Int,
    ): List<CreditAction> {
        holders[entry]?.giveBack(count)
        return settle()
    }

    /** Spends a credit of [entry] on a task; false, with the credit lost, if there is none or no slot behind it. */
    fun spend(entry: ProcessId): Boolean {
        val holder = holders[entry] ?: return false
        if (holder.granted == 0) return false
        holder.spend()
        if (running >= slots) return false
        holder.running++
        running++
        return true
    }

    /** Frees the slot of a task that [entry] started, and grants it anew; to the same entry only if [reusable]. */
    fun freed(
        entry: ProcessId,
        reusable: Boolean = true,
    ): FreedSlot {
        running--
        holders[entry]?.release()
        val next = if (free > 0) nextHolder() else null
        if (!reusable || next == null || next.entry != entry) return FreedSlot(credit = false, settle())
        grantOne(next)
        return FreedSlot(credit = true, settle())
    }

    /** Grants free slots and recalls unused credits where that is due, for example after a refused start. */
    fun settle(): List<CreditAction> = distribute() + recallForRequests()

    /** Recalls one unused credit from an entry that keeps asking, for each entry that asks and holds nothing. */
    fun relieve(): List<CreditAction> {
        val starving = holders.values.count { it.asks && it.holding == 0 }
        val due = starving - holders.values.sumOf { it.recalled }
        return recall(due) { it.unused }
    }

    private fun distribute(): List<CreditAction> {
        val grants = LinkedHashMap<ProcessId, Int>()
        while (free > 0) {
            val holder = nextHolder() ?: break
            grantOne(holder)
            grants.merge(holder.entry, 1, Int::plus)
        }
        return grants.map { (entry, count) -> CreditAction.Grant(entry, count) }
    }

    private fun nextHolder(): Holder? =
        holders.values.filter { it.asks }.minWithOrNull(compareBy({ it.holding }, { it.lastTurn }))
            ?: holders.values.minWithOrNull(compareBy({ it.granted }, { it.lastTurn }))

    private fun grantOne(holder: Holder) {
        holder.grant(++turn)
    }

    private fun recallForRequests(): List<CreditAction> {
        val due = holders.values.sumOf { it.wanted.toLong() } - holders.values.sumOf { it.recalled }
        return recall(due.coerceIn(0L, slots.toLong()).toInt()) { it.spare }
    }

    private fun recallExcess(): List<CreditAction> =
        recall(running + granted - slots - holders.values.sumOf { it.recalled }) { it.unused }

    private fun recall(
        due: Int,
        available: (Holder) -> Int,
    ): List<CreditAction> {
        val recalls = LinkedHashMap<Holder, Int>()
        repeat(due) {
            val richest = holders.values.filter { available(it) > 0 }.maxByOrNull(available) ?: return@repeat
            richest.recalled++
            recalls.merge(richest, 1, Int::plus)
        }
        return recalls.map { (holder, count) ->
            holder.recalls.addLast(count)
            CreditAction.Recall(holder.entry, count)
        }
    }

    /** Credits and running tasks of one connected entry. [requested] credits were granted because it asked. */
    private class Holder(
        val entry: ProcessId,
    ) {
        var granted = 0
        var running = 0
        var wanted = 0
        var asks = false
        var requested = 0
        var recalled = 0
        var lastTurn = 0L
        val recalls = ArrayDeque<Int>()

        val holding: Int
            get() = granted + running

        /** Credits that a recall may still take. */
        val unused: Int
            get() = granted - recalled

        /** Credits that nobody asked for. */
        val spare: Int
            get() = if (asks) 0 else unused - requested

        fun clear() {
            granted = 0
            requested = 0
            recalled = 0
            recalls.clear()
        }

        fun ask(count: Int) {
            wanted = count
            asks = count > 0
            if (!asks) requested = 0
        }

        fun grant(turn: Long) {
            granted++
            lastTurn = turn
            if (asks) requested++
            if (wanted > 0) wanted--
            if (wanted == 0) asks = false
        }

        fun spend() {
            take(1)
        }

        fun giveBack(count: Int) {
            val asked = recalls.removeFirstOrNull() ?: return
            recalled -= asked
            take(count.coerceIn(0, minOf(asked, granted)))
        }

        fun release() {
            if (running > 0) running--
        }

        private fun take(count: Int) {
            granted -= count
            requested = (requested - count).coerceAtLeast(0)
        }
    }
}
