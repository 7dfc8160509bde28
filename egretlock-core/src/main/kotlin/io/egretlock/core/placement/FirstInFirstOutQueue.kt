package io.egretlock.core.placement

/** Starts tasks in the order in which their jobs arrived and ignores teams: the baseline for [FairQueue]. */
internal class FirstInFirstOutQueue : TaskQueue {
    private val parts = ArrayDeque<QueuedPart>()
    private val waitingByTeam = HashMap<TeamAccount, Int>()

    override var waiting = 0
        private set

    override val startable: Int
        get() = waiting

    override var workMillis = 0.0
        private set

    override fun waitingOf(account: TeamAccount): Int = waitingByTeam[account] ?: 0

    override fun workMillisOf(account: TeamAccount): Double =
        if (waiting == 0) 0.0 else workMillis * waitingOf(account) / waiting

    override fun addLast(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        parts.addLast(part)
        count(part, account, part.remaining)
    }

    override fun addFirst(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        parts.addFirst(part)
        count(part, account, part.remaining)
    }

    override fun next(): QueuedPart? {
        while (parts.isNotEmpty() && parts.first().remaining == 0) parts.removeFirst()
        return parts.firstOrNull()
    }

    override fun taken(
        part: QueuedPart,
        account: TeamAccount,
    ) = count(part, account, -1)

    override fun moved(
        part: QueuedPart,
        account: TeamAccount,
    ) = count(part, account, -1)

    override fun drop(
        part: QueuedPart,
        account: TeamAccount,
    ) {
        count(part, account, -part.remaining)
        part.drop()
    }

    override fun accountChanged(account: TeamAccount) = Unit

    override fun workAheadMillis(
        account: TeamAccount,
        addedMillis: Double,
    ): Double = workMillis + addedMillis

    private fun count(
        part: QueuedPart,
        account: TeamAccount,
        tasks: Int,
    ) {
        waiting += tasks
        waitingByTeam.merge(account, tasks, Int::plus)
        workMillis = if (waiting == 0) 0.0 else workMillis + tasks * part.workMillis
    }
}
